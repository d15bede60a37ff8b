//! One process of the daemon.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use serde_json::Value;

const SERVING: &str = "is serving";

/// A running process, killed when it is dropped.
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// Where it listens, by what its log calls the port.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl DaemonProcess {
    /// Starts `applefoldd` and waits until it says that it serves.
    pub fn start(args: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_applefoldd"))
            .args(args)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("the log is piped");
        let mut lines = BufReader::new(stderr).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let addresses = wait_serving(&mut lines, &log);
        let kept = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("the log is whole").push(line);
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

    /// Stops the process without its knowledge, as a paused machine does.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Asks the process to stop in its own time.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process has ended");
    }

    /// Returns whether the process has ended by itself, and well.
    pub fn has_ended_well(&mut self) -> bool {
        let status = self.child.try_wait().expect("the process can be asked");
        status.is_some_and(|status| status.success())
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log is whole").join("\n")
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
        log.lock().expect("the log is whole").push(line.clone());
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
    panic!("the daemon ended early: {:?}", log.lock());
}

fn addresses_in(line: &Value) -> BTreeMap<String, SocketAddr> {
    let fields = line.as_object().into_iter().flatten();
    let addresses = fields.filter_map(|(name, value)| {
        let address = value.as_str()?.parse().ok()?;
        Some((name.clone(), address))
    });
    addresses.collect()
}
