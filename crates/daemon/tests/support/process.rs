//! A process of the daemon.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use serde_json::Value;

/// The end of the log line that reports that a process is ready.
const SERVING: &str = "is serving";

/// A running process; it is killed when it is dropped.
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// The addresses that it listens on, by their names in the log.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl DaemonProcess {
    /// Starts `applefoldd` and waits until it logs that it is ready.
    pub fn start(args: &[String]) -> Self {
        Self::start_with(args, &[])
    }

    /// Starts `applefoldd` with these variables, and waits until it logs that it is ready.
    pub fn start_with(args: &[String], variables: &[(&str, String)]) -> Self {
        let variables = variables.iter().map(|(name, value)| (name, value));
        let mut child = Command::new(env!("CARGO_BIN_EXE_applefoldd"))
            .args(args)
            .envs(variables)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("the log is piped");
        let mut lines = BufReader::new(stderr).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let addresses = wait_serving(&mut lines, &log);
        let shared_log = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                shared_log
                    .lock()
                    .expect("the log is not poisoned")
                    .push(line);
            }
        });
        Self {
            child,
            log,
            addresses,
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(
            status.expect("kill runs").success(),
            "could not send {name}"
        );
    }

    /// Suspends the process without notice, like the pause of a virtual machine.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Sends SIGTERM, after which the process shuts down gracefully.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process has exited");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the status can be read").is_some()
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes: u64 = kilobytes.expect("a figure").parse().expect("a number");
        kilobytes * 1_024
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("a running process").count()
    }

    /// Returns whether the process has exited successfully.
    pub fn has_exited_successfully(&mut self) -> bool {
        let status = self
            .child
            .try_wait()
            .expect("the status of the process can be read");
        status.is_some_and(|status| status.success())
    }

    /// Returns the log up to now.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log is not poisoned").join("\n")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_serving<L>(lines: &mut L, log: &Mutex<Vec<String>>) -> BTreeMap<String, SocketAddr>
where
    L: Iterator<Item = std::io::Result<String>>,
{
    for line in lines.map_while(Result::ok) {
        log.lock()
            .expect("the log is not poisoned")
            .push(line.clone());
        let Ok(value) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if value["text"]
            .as_str()
            .is_some_and(|text| text.ends_with(SERVING))
        {
            return addresses_in(&value);
        }
    }
    panic!("the daemon exited before it was ready: {:?}", log.lock());
}

fn addresses_in(line: &Value) -> BTreeMap<String, SocketAddr> {
    let fields = line.as_object().into_iter().flatten();
    let addresses = fields.filter_map(|(name, value)| {
        let address = value.as_str()?.parse().ok()?;
        Some((name.clone(), address))
    });
    addresses.collect()
}
