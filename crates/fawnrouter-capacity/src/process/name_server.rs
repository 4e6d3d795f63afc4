//! The stand-in name server: answers each question for the list over UDP and counts both.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::hollow::Volume;
use crate::platform::{ListedSwitch, encode_list_answer};
use crate::process::gateway::LIST_SERIAL;
use crate::process::watched::Watched;

/// The longest question that is read.
const MAX_QUESTION_BYTES: usize = 1500;
/// How often the thread looks whether it is to end.
const STOP_LOOK: Duration = Duration::from_millis(100);

/// What was asked and answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ListTraffic {
    /// Questions by the address that they came from.
    pub questions: BTreeMap<SocketAddr, Volume>,
    /// Answers to all.
    pub answers: Volume,
}

impl ListTraffic {
    /// Questions of all.
    pub fn all_questions(&self) -> Volume {
        let questions = self.questions.values();
        Volume {
            messages: questions.clone().map(|volume| volume.messages).sum(),
            bytes: questions.map(|volume| volume.bytes).sum(),
        }
    }
}

/// The name server's thread.
#[derive(Debug)]
pub(super) struct NameServer {
    /// Where it is asked.
    pub address: SocketAddr,
    /// What was asked and answered so far.
    pub traffic: Arc<Watched<ListTraffic>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl NameServer {
    /// Starts one that always gives this list.
    pub fn start(rows: Vec<ListedSwitch>) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(STOP_LOOK))?;
        let address = socket.local_addr()?;
        let traffic = Arc::new(Watched::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (counted, stopped) = (traffic.clone(), stop.clone());
        let thread = std::thread::Builder::new()
            .name("name-server".to_owned())
            .spawn(move || answer_until(&stopped, &socket, &rows, &counted))?;
        Ok(Self { address, traffic, stop, thread: Some(thread) })
    }
}

fn answer_until(
    stop: &AtomicBool,
    socket: &UdpSocket,
    rows: &[ListedSwitch],
    traffic: &Watched<ListTraffic>,
) {
    let mut buffer = [0; MAX_QUESTION_BYTES];
    while !stop.load(Ordering::Relaxed) {
        // Nothing came in the time, or an answer met a gateway that had ended.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        let answer = encode_list_answer(&buffer[..length], LIST_SERIAL, rows);
        let sent = socket.send_to(&answer, from);
        traffic.update(|traffic| {
            record(traffic.questions.entry(from).or_default(), length);
            if let Ok(bytes) = sent {
                record(&mut traffic.answers, bytes);
            }
        });
    }
}

fn record(volume: &mut Volume, bytes: usize) {
    volume.messages += 1;
    volume.bytes += bytes as u64;
}

impl Drop for NameServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It does not panic; were it to, its count would be missing and noticed.
            let _ = thread.join();
        }
    }
}
