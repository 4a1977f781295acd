//! Entry hosts as processes, each behind proxies for its callers and for its store.

use crate::plan::{LinkFault, SoakSettings};
use crate::proxy::LoopbackProxy;
use crocusyard_platform_standin::prelude::{settings_text, HostAddresses, SETTINGS_VARIABLE};
use crocusyard_testbed::ports::{unused_address, unused_range};
use crocusyard_testbed::prelude::ProcessHandle;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, ExitStatus};

/// Ports that the settings name for a host's own use.
const PORT_COUNT: u16 = 16;

/// An entry host.
pub struct SoakHost {
    /// Its own addresses.
    pub addresses: HostAddresses,
    /// Callers connect through it.
    pub caller_proxy: LoopbackProxy,
    store_proxy: LoopbackProxy,
    settings: tempfile::TempPath,
    settings_text: String,
    program: PathBuf,
    log: PathBuf,
    process: RefCell<Option<ProcessHandle>>,
}

impl SoakHost {
    /// Prepares a host without starting it.
    ///
    /// # Errors
    ///
    /// Fails if its settings cannot be written or its proxies not started.
    pub async fn prepare(
        number: usize,
        store: SocketAddr,
        settings: &SoakSettings,
    ) -> io::Result<Self> {
        let addresses = HostAddresses {
            entry: unused_address(),
            ready: unused_address(),
            directory: unused_address(),
            // All of these lie on the loopback address of this process.
            first_port: unused_range(PORT_COUNT).port(),
        };
        let store_proxy = LoopbackProxy::start(store).await?;
        let name = format!("edge-{number}");
        let text = settings_text(&name, &addresses, store_proxy.address);
        let mut file = tempfile::NamedTempFile::new()?;
        file.write_all(text.as_bytes())?;
        Ok(Self {
            caller_proxy: LoopbackProxy::start(addresses.entry).await?,
            addresses,
            store_proxy,
            settings: file.into_temp_path(),
            settings_text: text,
            program: settings.program.clone(),
            log: settings.logs.join(format!("{}-{name}.log", settings.seed)),
            process: RefCell::new(None),
        })
    }

    /// Starts the process; its output is appended to the log.
    ///
    /// # Errors
    ///
    /// Fails if the program or the log cannot be opened.
    pub fn start(&self) -> io::Result<()> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let process = ProcessHandle::spawn(
            Command::new(&self.program)
                .arg("entry")
                .env(SETTINGS_VARIABLE, &self.settings)
                .stderr(log.try_clone()?)
                .stdout(log),
        )?;
        self.process.replace(Some(process));
        Ok(())
    }

    /// Kills the process, if it runs.
    pub fn kill(&self) {
        self.process.replace(None);
    }

    /// Sends a signal by name; a host without a process gets none.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let process = self.process.borrow();
        process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(name))
    }

    /// Writes the settings again and tells the process so.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written or the signal not sent.
    pub fn reload(&self) -> io::Result<()> {
        std::fs::write(&self.settings, &self.settings_text)?;
        self.signal("HUP")
    }

    /// Returns how a process has ended, and forgets it.
    ///
    /// # Errors
    ///
    /// Fails if the state of the process cannot be read.
    pub fn take_exit(&self) -> io::Result<Option<ExitStatus>> {
        let mut process = self.process.borrow_mut();
        let Some(running) = process.as_mut() else {
            return Ok(None);
        };
        let ended = running.poll()?;
        if ended.is_some() {
            *process = None;
        }
        Ok(ended)
    }

    /// Sets what happens to its connections to the store.
    pub fn set_store_fault(&self, fault: Option<LinkFault>) {
        self.store_proxy.set_fault(fault);
    }
}
