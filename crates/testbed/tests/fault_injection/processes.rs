//! Node processes exit when the testbed is killed.

use crate::support::folder;

/// The number of processes whose command line contains this text.
fn running_count(text: &str) -> usize {
    let all = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|e| std::fs::read(e.ok()?.path().join("cmdline")).ok());
    all.filter(|line| String::from_utf8_lossy(line).contains(text))
        .count()
}

#[test]
fn killed_testbed_leaves_no_process_behind() {
    let folder = folder("killed");
    let mut testbed = std::process::Command::new(env!("CARGO_BIN_EXE_poppykeel-testbed"))
        .args([
            "break",
            "leases",
            "--nodes",
            "3",
            "--rounds",
            "9",
            "--only",
            "stop-holder",
            "--out",
        ])
        .arg(&folder)
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let config = folder.join("node-").display().to_string();
    let wait_until = |is_expected: &dyn Fn(usize) -> bool| {
        for _ in 0..1000 {
            if is_expected(running_count(&config)) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        panic!("{} node processes are running", running_count(&config));
    };
    wait_until(&|count| count == 3);
    testbed.kill().unwrap();
    testbed.wait().unwrap();
    wait_until(&|count| count == 0);
    std::fs::remove_dir_all(folder).unwrap();
}
