//! Builds and locates the binaries under test, and serializes the tests.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Folder with the binaries, built with the profile and target folder of the running test.
///
/// Cargo builds and exposes to a test only the binaries of its own package, so the first call
/// builds those of the whole workspace. After `cargo build` or `cargo test` of the workspace,
/// nothing is left to build.
///
/// # Panics
/// The build fails.
pub fn folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(build)
}

fn build() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test binary");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("test binary in target/<profile>/deps");
    let target = folder.parent().expect("target folder");
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(other) => other,
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // Selecting single packages could change the features of shared libraries and rebuild them.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    command
        .args(["--profile", profile, "--target-dir"])
        .arg(target);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().expect("run cargo");
    assert!(status.success(), "building the binaries failed: {status}");
    folder.to_owned()
}

/// File lock that is held while a test runs. The kernel releases it when the process ends, even if
/// it is killed.
#[derive(Debug)]
pub struct TestLock {
    _file: File,
}

/// Waits for the lock that serializes tests with real processes, in this process and in others.
///
/// # Panics
/// The lock file cannot be used.
pub fn turn() -> TestLock {
    let file = File::create(folder().join("daisymast_cluster.lock")).expect("create the lock file");
    file.lock().expect("acquire the file lock");
    TestLock { _file: file }
}

/// Creates an empty folder for the settings and logs of a cell, and deletes what an earlier run
/// left.
pub(crate) fn create_scratch_folder(name: &str) -> PathBuf {
    let path = folder().join("daisymast_cluster").join(name);
    match fs::remove_dir_all(&path) {
        Ok(()) => {}
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => panic!("cannot delete {}: {error}", path.display()),
    }
    fs::create_dir_all(&path).expect("create a folder");
    path
}
