//! The stand-in name server: it answers each query for the list over UDP and counts queries and answers.

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

/// Longest query that is read; the rest of a longer datagram is discarded.
const MAX_QUERY_BYTES: usize = 1500;
/// How often the thread checks whether it is to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Queries for the list and answers with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ListTraffic {
    /// Queries by source address.
    pub queries_by_source: BTreeMap<SocketAddr, Volume>,
    /// Answers to all sources.
    pub answers: Volume,
}

impl ListTraffic {
    /// Queries from all sources.
    pub fn all_queries(&self) -> Volume {
        let queries = self.queries_by_source.values();
        Volume {
            messages: queries.clone().map(|volume| volume.messages).sum(),
            bytes: queries.map(|volume| volume.bytes).sum(),
        }
    }
}

/// Handle of the name server's thread, which ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct NameServer {
    /// Address that queries are sent to.
    pub address: SocketAddr,
    /// What has been counted so far.
    pub traffic: Arc<Watched<ListTraffic>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl NameServer {
    /// Starts a name server that answers every query with this list.
    pub fn start(list: Vec<ListedSwitch>) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let address = socket.local_addr()?;
        let traffic = Arc::new(Watched::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (counted, stopped) = (traffic.clone(), stop.clone());
        let thread = std::thread::Builder::new()
            .name("name-server".to_owned())
            .spawn(move || answer_queries(&stopped, &socket, &list, &counted))?;
        Ok(Self { address, traffic, stop, thread: Some(thread) })
    }
}

/// Answers queries until it is told to stop.
fn answer_queries(
    stop: &AtomicBool,
    socket: &UdpSocket,
    list: &[ListedSwitch],
    traffic: &Watched<ListTraffic>,
) {
    let mut buffer = [0; MAX_QUERY_BYTES];
    while !stop.load(Ordering::Relaxed) {
        // An error is a timeout, or the ICMP reply to an answer whose gateway had ended.
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let answer = encode_list_answer(&buffer[..length], LIST_SERIAL, list);
        let sent = socket.send_to(&answer, source);
        traffic.update(|traffic| {
            add_datagram(traffic.queries_by_source.entry(source).or_default(), length);
            if let Ok(bytes) = sent {
                add_datagram(&mut traffic.answers, bytes);
            }
        });
    }
}

fn add_datagram(volume: &mut Volume, bytes: usize) {
    volume.messages += 1;
    volume.bytes += bytes as u64;
}

impl Drop for NameServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is not lost: its counts would be missing from the measurement.
            let _ = thread.join();
        }
    }
}
