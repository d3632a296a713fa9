//! The command that tells where a request would go, against real node processes.

use std::path::Path;
use std::process::{Command, Output};

use daisymast_cluster::programs;
use daisymast_http::executor;
use daisymast_soak::{cell, plan};

/// A request with a task that any worker can take.
const REQUEST: &str =
    r#"{"spec":"p","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_duration_ms":200}]}"#;

/// Runs the command on another thread, as the executor also serves the cell's links.
async fn explain(cell: &cell::Cell, node: usize, arguments: &[&str]) -> Output {
    let node = cell.nodes[node].peers.address().to_string();
    let mut command = Command::new(programs::folder().join("daisymast-node"));
    command.args(["explain", "--node", &node]).args(arguments);
    smol::unblock(move || command.output())
        .await
        .expect("the command runs")
}

fn write_request(folder: &Path) -> String {
    let path = folder.join("request.json");
    std::fs::write(&path, REQUEST).expect("the request is written");
    path.display().to_string()
}

/// Guards against a command that only the scheduler's own node answers.
#[test]
fn any_node_tells_where_a_request_would_go() {
    let _turn = programs::turn();
    let folder = programs::folder().join("daisymast_soak").join("explain");
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    let request = write_request(&folder);
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        let arguments = ["--json", "--request", &request, "--queue", plan::QUEUES[0]];
        for node in 0..cell.nodes.len() {
            let output = explain(&cell, node, &arguments).await;
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            assert!(output.status.success(), "node {node}: {output:?}");
            assert!(
                text.contains("\"verdict\": \"starts\""),
                "node {node}: {text}"
            );
        }
        let missing = explain(&cell, 0, &["--job", "00000000000000ff"]).await;
        let text = String::from_utf8_lossy(&missing.stdout);
        assert_eq!(text, "no such job is open\n", "{missing:?}");
    });
}
