//! Builds the binaries and finds them, and lets one test run at a time.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Folder of the binaries, with the profile and target folder of the running test.
///
/// Cargo names only the binaries of a test's own package, so the harness asks it to build those of
/// the others. The build is up to date after `cargo build` or `cargo test` of the workspace.
///
/// # Panics
/// The build fails.
pub fn folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(build)
}

fn build() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("a test in target/<profile>/deps");
    let target = folder.parent().expect("a target folder");
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(other) => other,
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // Of the whole workspace, since packages alone may select other features of the libraries and so
    // build these anew.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    command
        .args(["--profile", profile, "--target-dir"])
        .arg(target);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().expect("run cargo");
    assert!(status.success(), "building the binaries fails: {status}");
    folder.to_owned()
}

/// Held while a test runs. The lock ends with the process, also when that is killed.
#[derive(Debug)]
pub struct TestLock {
    _file: File,
}

/// Waits until no other test of this crate runs, in this process or another.
///
/// # Panics
/// The lock file cannot be used.
pub fn turn() -> TestLock {
    let file = File::create(folder().join("daisymast_cluster.lock")).expect("a lock file");
    file.lock().expect("lock the file");
    TestLock { _file: file }
}

/// An empty folder for the settings and logs of a cell.
pub(crate) fn create_scratch_folder(name: &str) -> PathBuf {
    let path = folder().join("daisymast_cluster").join(name);
    match fs::remove_dir_all(&path) {
        Ok(()) => {}
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => panic!("cannot empty {}: {error}", path.display()),
    }
    fs::create_dir_all(&path).expect("create a folder");
    path
}
