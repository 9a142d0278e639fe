//! Keeps the process group of a test from becoming orphaned.
//!
//! A process group is linked to its session by a member whose parent is in
//! another group, usually the shell that runs the tests. When the last such
//! member ends, the system sends SIGHUP and SIGCONT to a group with stopped
//! members, so that a process that a test has paused continues or ends. The
//! link that is started here ends with the test process.

use std::{
    io::{self, BufRead, BufReader},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::Mutex,
};

use crate::{fault::lock, process::binary_path};

/// Links the group of this process to its session, unless it is linked already.
pub(crate) fn link_group() -> io::Result<()> {
    static LINK: Mutex<Option<Child>> = Mutex::new(None);
    let mut link = lock(&LINK);
    if link.is_some() {
        return Ok(());
    }
    let mut command = Command::new(binary_path("borageline-standin")?);
    command.args(["group-link", "--group", &own_group()?]);
    command.process_group(0);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn()?;
    let mut line = String::new();
    if let Some(stdout) = child.stdout.take() {
        BufReader::new(stdout).read_line(&mut line)?;
    }
    if line.is_empty() {
        let status = child.wait()?;
        return Err(io::Error::other(format!("group-link: {status}")));
    }
    *link = Some(child);
    Ok(())
}

/// Id of the group of this process.
fn own_group() -> io::Result<String> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    // The state, the parent and the group follow the name, which is in
    // parentheses.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let group = fields.split_whitespace().nth(2);
    group.map(str::to_owned).ok_or_else(|| {
        io::Error::other(format!("no process group in {stat:?}"))
    })
}

/// Runs a member of a process group until standard input ends. Prints a line
/// once it runs.
pub fn run_link(group: i32) -> io::Result<()> {
    let mut command = Command::new("cat");
    command.process_group(group);
    command.stdin(Stdio::piped()).stdout(Stdio::null());
    let mut member = command.spawn()?;
    println!("linked");
    io::copy(&mut io::stdin(), &mut io::sink())?;
    // Waiting closes the standard input of the member, which ends it.
    member.wait()?;
    Ok(())
}
