//! A voter built with omnipaxos.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry(u64);

impl Entry for LogEntry {
    type Snapshot = NoSnapshot;
}

/// Storage in memory.
#[derive(Default)]
pub struct MemoryStorage {
    log: Vec<LogEntry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
}

impl Storage<LogEntry> for MemoryStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<LogEntry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(e) => self.append_entry(e)?,
                StorageOp::AppendEntries(e) => self.append_entries(e)?,
                StorageOp::AppendOnPrefix(from, e) => self.append_on_prefix(from, e)?,
                StorageOp::SetPromise(b) => self.set_promise(b)?,
                StorageOp::SetDecidedIndex(i) => self.set_decided_idx(i)?,
                StorageOp::SetAcceptedRound(b) => self.set_accepted_round(b)?,
                StorageOp::SetStopsign(s) => self.set_stopsign(s)?,
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }
    fn append_entry(&mut self, entry: LogEntry) -> StorageResult<()> {
        self.log.push(entry);
        Ok(())
    }
    fn append_entries(&mut self, entries: Vec<LogEntry>) -> StorageResult<()> {
        self.log.extend(entries);
        Ok(())
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<LogEntry>) -> StorageResult<()> {
        self.log.truncate(from);
        self.log.extend(entries);
        Ok(())
    }
    fn set_promise(&mut self, b: Ballot) -> StorageResult<()> {
        self.promise = Some(b);
        Ok(())
    }
    fn set_decided_idx(&mut self, i: usize) -> StorageResult<()> {
        self.decided = i;
        Ok(())
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }
    fn set_accepted_round(&mut self, b: Ballot) -> StorageResult<()> {
        self.accepted = Some(b);
        Ok(())
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<LogEntry>> {
        Ok(self.log.get(from..to).unwrap_or(&[]).to_vec())
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<LogEntry>> {
        Ok(self.log.get(from..).unwrap_or(&[]).to_vec())
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }
    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.stop = s;
        Ok(())
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop.clone())
    }
    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }
    fn set_snapshot(&mut self, _: Option<<LogEntry as Entry>::Snapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<<LogEntry as Entry>::Snapshot>> {
        Ok(None)
    }
}

pub struct OmniPaxosVoter(OmniPaxos<LogEntry, MemoryStorage>);

/// Creates a voter with the time-outs of the raft voter: heartbeats every 50 ms, an election round within
/// 250 ms.
pub fn voter(id: u64) -> OmniPaxosVoter {
    let nodes = (1..=super::VOTERS).collect();
    let server = ServerConfig {
        pid: id,
        election_tick_timeout: 25,
        resend_message_tick_timeout: 25,
        ..ServerConfig::default()
    };
    let cluster = ClusterConfig { configuration_id: 1, nodes, flexible_quorum: None };
    let config = OmniPaxosConfig { cluster_config: cluster, server_config: server };
    OmniPaxosVoter(config.build(MemoryStorage::default()).expect("a sound configuration"))
}

impl super::Voter for OmniPaxosVoter {
    type Message = Message<LogEntry>;

    fn tick(&mut self) {
        self.0.tick();
    }
    fn step(&mut self, message: Message<LogEntry>) {
        self.0.handle_incoming(message);
    }
    fn take_messages(&mut self) -> Vec<(u64, Message<LogEntry>)> {
        let mut out = Vec::new();
        self.0.take_outgoing_messages(&mut out);
        out.into_iter().map(|m| (m.get_receiver(), m)).collect()
    }
    fn is_leader(&self) -> bool {
        self.0.get_current_leader().is_some_and(|(id, accepts)| id == self.0.get_pid() && accepts)
    }
    fn propose(&mut self, entry: u64) {
        let _ = self.0.append(LogEntry(entry));
    }
    fn decided(&self) -> u64 {
        self.0.get_decided_idx() as u64
    }
}
