//! Processes of a test or of the demo: stand-ins and daemons on loopback, killed when dropped.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context, Result};
use awc::Client;
use serde_json::Value;

use crate::address::{free_address, lock_probe_or_spawn};
use crate::relay::PeerRelay;

/// Maximum time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Variable of the environment that names the daemon's program.
const DAEMON_VARIABLE: &str = "CURLEWCLEAT_DAEMON";

static NEXT_DEPLOYMENT: AtomicU16 = AtomicU16::new(0);

/// A process, killed when dropped.
pub struct ChildProcess {
    /// Name for error messages.
    pub name: String,
    /// Main address of the process.
    pub address: String,
    child: Child,
}

impl ChildProcess {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status =
            Command::new("kill").args([format!("-{name}"), self.id().to_string()]).status()?;
        if !status.success() {
            bail!("deployment: kill -{name} {} failed", self.name);
        }
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // An error means that the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has exited, -1 if a signal killed it.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon with its addresses.
pub struct DeployedDaemon {
    /// Process of the daemon.
    pub process: ChildProcess,
    /// VM name.
    pub vm: String,
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub operators: String,
    /// Address for peers.
    pub peers: String,
    settings: PathBuf,
}

/// All processes of one test.
pub struct Deployment {
    /// Folder of the built programs.
    programs: PathBuf,
    /// Folder for settings and logs.
    folder: PathBuf,
    /// The platform.
    pub platform: ChildProcess,
    /// Engines and services.
    pub targets: Vec<ChildProcess>,
    /// Daemons.
    pub daemons: Vec<DeployedDaemon>,
    /// Lines added to each daemon's settings.
    pub extra_settings: String,
    /// Lines added to the callers' section of each daemon's settings.
    pub caller_settings: String,
    /// Proxies in front of the peer addresses of the daemons, if [`Deployment::use_relays`] was called.
    pub relays: Vec<PeerRelay>,
    use_relays: bool,
}

impl Deployment {
    /// Starts a platform.
    pub async fn start(name: &str) -> Result<Deployment> {
        let programs = program_folder()?;
        let folder = create_temp_folder(name)?;
        let address = free_address()?;
        let options = ["--address", &address, "--list-lag-ms", "300"];
        let platform =
            spawn(&programs.join("standin"), "platform", &address, &folder, "platform", &options)?;
        let fleet = Deployment {
            programs,
            folder,
            platform,
            targets: Vec::new(),
            daemons: Vec::new(),
            extra_settings: String::new(),
            caller_settings: String::new(),
            relays: Vec::new(),
            use_relays: false,
        };
        wait_listening(&address).await?;
        Ok(fleet)
    }

    /// Puts a proxy in front of the peer address of each daemon that is started from now on.
    pub fn use_relays(&mut self) {
        self.use_relays = true;
    }

    /// Starts an engine or service with additional options; returns its index.
    pub async fn target(&mut self, kind: &str, options: &[&str]) -> Result<usize> {
        let address = free_address()?;
        let name = format!("{kind}-{}", self.targets.len());
        let mut all = vec!["--address", address.as_str()];
        all.extend(options);
        let target =
            spawn(&self.programs.join("standin"), kind, &address, &self.folder, &name, &all)?;
        wait_listening(&address).await?;
        self.targets.push(target);
        Ok(self.targets.len() - 1)
    }

    /// Starts daemons whose settings list each other as seeds.
    pub async fn daemons(&mut self, count: usize) -> Result<()> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            addresses.push((free_address()?, free_address()?, free_address()?));
        }
        if self.use_relays {
            for (_, _, peers) in &addresses {
                self.relays.push(PeerRelay::start(peers).await?);
            }
        }
        let known = self.daemons.iter().map(|daemon| daemon.peers.clone());
        let mut seeds: Vec<String> =
            known.chain(addresses.iter().map(|all| all.2.clone())).collect();
        if self.use_relays {
            seeds = self.relays.iter().map(|relay| relay.address.clone()).collect();
        }
        for (callers, operators, peers) in addresses {
            let vm = format!("entry-{}", self.daemons.len());
            let settings = self.write_settings(&vm, &callers, &operators, &peers, &seeds)?;
            let process = self.spawn_daemon(&vm, &callers, &settings)?;
            self.daemons.push(DeployedDaemon { process, vm, callers, operators, peers, settings });
        }
        for daemon in &self.daemons {
            wait_listening(&daemon.operators).await?;
        }
        Ok(())
    }

    /// Kills a daemon and starts it again on the same VM and addresses.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].process.kill();
        let daemon = &self.daemons[index];
        let process = self.spawn_daemon(&daemon.vm, &daemon.callers, &daemon.settings)?;
        self.daemons[index].process = process;
        wait_listening(&self.daemons[index].operators).await
    }

    /// Runs the operators' tool; returns its exit code and output.
    pub fn tool(&self, arguments: &[&str]) -> Result<(i32, String)> {
        output_of(self.start_tool(arguments)?)
    }

    /// Starts the operators' tool without waiting for its exit.
    pub fn start_tool(&self, arguments: &[&str]) -> Result<Child> {
        let daemons: Vec<&str> =
            self.daemons.iter().map(|daemon| daemon.operators.as_str()).collect();
        let platform = ["--platform", &self.platform.address];
        start_tool(&self.programs, &daemons, &[&platform, arguments].concat())
    }

    /// Runs the daemon's program until it exits; returns its exit code and output.
    pub fn daemon_program(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let mut command = Command::new(daemon_path(&self.programs));
        command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
        let child = {
            let _guard = lock_probe_or_spawn();
            command.spawn().context("deployment: run the daemon")?
        };
        output_of(child)
    }

    /// Writes a file into the deployment's folder and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> Result<String> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Applies a configuration text and waits until it is in force on all daemons.
    pub fn apply(&self, name: &str, text: &str) -> Result<()> {
        let path = self.write_file(name, text)?;
        let (code, output) = self.tool(&["apply", &path, "--wait", "--wait-seconds", "20"])?;
        if code != 0 {
            bail!("deployment: apply ended with {code}: {output}");
        }
        Ok(())
    }

    /// Sets the fault switches of a stand-in.
    pub async fn fault(&self, address: &str, faults: Value) -> Result<()> {
        post(address, "/_fault", &faults).await
    }

    /// Sets the platform's list of VMs.
    pub async fn list_vms(&self, live: &[&str], leaving: &[&str]) -> Result<()> {
        let line = |vm: &&str, state: &str| serde_json::json!({"vm": vm, "data_centre": "dc", "state": state});
        let lines: Vec<Value> = live
            .iter()
            .map(|vm| line(vm, "live"))
            .chain(leaving.iter().map(|vm| line(vm, "leaving")))
            .collect();
        let url = format!("http://{}/_vms", self.platform.address);
        let call = Client::default().put(url).send_json(&lines).await;
        call.map_err(|error| anyhow!("deployment: list of VMs: {error}"))?;
        Ok(())
    }

    /// Waits until all daemons have the key table.
    pub async fn wait_for_key_table(&self) -> Result<()> {
        for daemon in &self.daemons {
            wait_status(&daemon.operators, "the key table", |status| {
                status["key_table"].as_u64() > Some(0)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until each daemon has at least this number of live peers.
    pub async fn wait_for_peers(&self, peers: usize) -> Result<()> {
        for daemon in &self.daemons {
            wait_status(&daemon.operators, "its peers", |status| live_peers(status) >= peers)
                .await?;
        }
        Ok(())
    }

    fn spawn_daemon(&self, vm: &str, callers: &str, settings: &Path) -> Result<ChildProcess> {
        let settings = settings.display().to_string();
        let options = ["--settings", settings.as_str()];
        spawn(&daemon_path(&self.programs), "", callers, &self.folder, vm, &options)
    }

    fn write_settings(
        &self,
        vm: &str,
        callers: &str,
        operators: &str,
        peers: &str,
        seeds: &[String],
    ) -> Result<PathBuf> {
        let relay = self.relays.get(self.daemons.len());
        let advertised = relay
            .map_or(String::new(), |relay| format!("advertised_address = {}\n", relay.address));
        let text = format!(
            "[vm]\nname = {vm}\ndata_centre = dc\n\n[callers]\naddress = {callers}\ndrain_grace = 300ms\n{}\n\
             [operators]\naddress = {operators}\n\n[peers]\naddress = {peers}\nseeds = {}\nbeat = 100ms\n\
             suspect_after = 1s\n{advertised}\n[platform]\naddress = {}\ncall_limit = 2s\n\n{}",
            self.caller_settings,
            seeds.join(", "),
            self.platform.address,
            self.extra_settings
        );
        let path = self.folder.join(format!("{vm}.ini"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("CURLEWCLEAT_KEEP_LOGS").is_none() {
            // A folder that cannot be removed remains among the temporary files.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Starts the operators' tool against these daemons without waiting for its exit.
pub fn start_tool(programs: &Path, daemons: &[&str], arguments: &[&str]) -> Result<Child> {
    let mut command = Command::new(programs.join("curlewcleat"));
    if !daemons.is_empty() {
        command.args(["--daemons", &daemons.join(",")]);
    }
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    let _guard = lock_probe_or_spawn();
    command.spawn().context("deployment: run the tool")
}

/// Waits until a program exits; returns its exit code and output.
pub fn output_of(child: Child) -> Result<(i32, String)> {
    let output = child.wait_with_output()?;
    let mut text = String::from_utf8_lossy(&output.stdout).to_string();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok((output.status.code().unwrap_or(-1), text))
}

/// Creates a folder for one deployment. A counter in its name distinguishes deployments of this process with the same
/// name: with a common folder they would overwrite each other's settings files, and one daemon would be unreachable.
///
/// # Errors
/// Fails if the folder cannot be created.
pub fn create_temp_folder(name: &str) -> Result<PathBuf> {
    let count = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
    let folder = format!("curlewcleat-{name}-{}-{count}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Returns the number of live peers in a status.
pub fn live_peers(status: &Value) -> usize {
    status["peers"]
        .as_array()
        .map_or(0, |peers| peers.iter().filter(|peer| peer["live"] == true).count())
}

/// Returns the status of a daemon.
pub async fn status(operators: &str) -> Result<Value> {
    get_json(operators, "/status").await
}

/// Waits until a daemon's status meets a condition and returns the status.
pub async fn wait_status(
    operators: &str,
    what: &str,
    is_met: impl Fn(&Value) -> bool,
) -> Result<Value> {
    let begun = Instant::now();
    loop {
        if let Ok(status) = status(operators).await {
            if is_met(&status) {
                return Ok(status);
            }
        }
        if begun.elapsed() > WAIT_LIMIT {
            bail!("deployment: daemon at {operators} did not reach {what} within {WAIT_LIMIT:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a condition holds.
pub async fn wait_until<F>(what: &str, mut is_met: impl FnMut() -> F) -> Result<()>
where
    F: std::future::Future<Output = bool>,
{
    let begun = Instant::now();
    while !is_met().await {
        if begun.elapsed() > WAIT_LIMIT {
            bail!("deployment: condition not met within {WAIT_LIMIT:?}: {what}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Requests a path of a stand-in or daemon and parses the answer as JSON.
pub async fn get_json(address: &str, path: &str) -> Result<Value> {
    let body = get(address, path).await?;
    serde_json::from_slice(&body).with_context(|| format!("deployment: {address}{path}"))
}

/// Requests a path of a daemon and returns the answer as text.
pub async fn get_text(address: &str, path: &str) -> Result<String> {
    Ok(String::from_utf8_lossy(&get(address, path).await?).to_string())
}

async fn get(address: &str, path: &str) -> Result<Vec<u8>> {
    let failed = |error: &dyn std::fmt::Display| anyhow!("deployment: {address}{path}: {error}");
    let call = Client::default().get(format!("http://{address}{path}")).send().await;
    let mut response = call.map_err(|error| failed(&error))?;
    let body = response.body().limit(64 << 20).await.map_err(|error| failed(&error))?;
    Ok(body.to_vec())
}

/// Sends a request with this content and ignores what is answered.
///
/// # Errors
/// Fails if the request gets no answer.
pub async fn post(address: &str, path: &str, value: &Value) -> Result<()> {
    let call = Client::default().post(format!("http://{address}{path}")).send_json(value).await;
    call.map_err(|error| anyhow!("deployment: {address}{path}: {error}"))?;
    Ok(())
}

/// Returns the folder of the built programs, which is one of the parent folders of the running program.
///
/// # Errors
/// Fails if the daemon is not built.
pub fn program_folder() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folders = executable.ancestors().skip(1);
    let found = folders.map(Path::to_path_buf).find(|folder| folder.join("curlewcleatd").is_file());
    found.ok_or_else(|| {
        anyhow!("deployment: curlewcleatd is not built; run `cargo build --workspace` first")
    })
}

/// Returns the path of the daemon's program: one of the built programs, or of another build if [`DAEMON_VARIABLE`] names it.
pub fn daemon_path(programs: &Path) -> PathBuf {
    std::env::var_os(DAEMON_VARIABLE).map_or_else(|| programs.join("curlewcleatd"), PathBuf::from)
}

/// Starts a process and appends its output to a log file.
///
/// # Errors
/// Fails if the process cannot be started.
pub fn spawn(
    program: &Path,
    kind: &str,
    address: &str,
    folder: &Path,
    name: &str,
    options: &[&str],
) -> Result<ChildProcess> {
    spawn_with_variables(program, kind, address, folder, name, options, &[])
}

/// Same as [`spawn`], with environment variables for the process.
///
/// # Errors
/// Fails if the process cannot be started.
pub fn spawn_with_variables(
    program: &Path,
    kind: &str,
    address: &str,
    folder: &Path,
    name: &str,
    options: &[&str],
    variables: &[(String, String)],
) -> Result<ChildProcess> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))?;
    let mut command = Command::new(program);
    if !kind.is_empty() {
        command.arg(kind);
    }
    let variables = variables.iter().map(|(name, value)| (name, value));
    let command = command.args(options).envs(variables);
    let command = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    let _guard = lock_probe_or_spawn();
    let child =
        command.spawn().with_context(|| format!("deployment: start {}", program.display()))?;
    Ok(ChildProcess { name: name.to_string(), address: address.to_string(), child })
}

/// Waits until an address accepts connections.
///
/// # Errors
/// Fails if it accepts none in time.
pub async fn wait_listening(address: &str) -> Result<()> {
    wait_until(&format!("{address} listens"), || async move {
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await
}
