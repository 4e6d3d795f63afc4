//! A voter built with raft.

use raft::prelude::{Config, Entry, Message, RawNode};
use raft::storage::MemStorage;

pub struct RaftVoter {
    node: RawNode<MemStorage>,
    outgoing: Vec<Message>,
    decided: u64,
}

/// Creates a voter with heartbeats every 50 ms and elections after 250 to 500 ms. Pre-vote and the quorum
/// check are on, as its authors advise for links that fail.
pub fn voter(id: u64) -> RaftVoter {
    let storage = MemStorage::new_with_conf_state(((1..=super::VOTERS).collect::<Vec<_>>(), vec![]));
    let config = Config {
        id,
        election_tick: 25,
        heartbeat_tick: 5,
        pre_vote: true,
        check_quorum: true,
        max_inflight_msgs: 256,
        max_size_per_msg: 1 << 20,
        ..Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RaftVoter {
        node: RawNode::new(&config, storage, &logger).expect("a sound configuration"),
        outgoing: Vec::new(),
        decided: 0,
    }
}

impl RaftVoter {
    fn count_decided(&mut self, entries: &[Entry]) {
        self.decided += entries.iter().filter(|e| !e.data.is_empty()).count() as u64;
    }

    fn process_ready(&mut self) {
        while self.node.has_ready() {
            let store = self.node.raft.raft_log.store.clone();
            let mut ready = self.node.ready();
            self.outgoing.extend(ready.take_messages());
            if !ready.snapshot().is_empty() {
                store.wl().apply_snapshot(ready.snapshot().clone()).expect("a snapshot");
            }
            self.count_decided(&ready.take_committed_entries());
            if !ready.entries().is_empty() {
                store.wl().append(ready.entries()).expect("entries");
            }
            if let Some(state) = ready.hs() {
                store.wl().set_hardstate(state.clone());
            }
            self.outgoing.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                store.wl().mut_hard_state().set_commit(commit);
            }
            self.outgoing.extend(light.take_messages());
            self.count_decided(&light.take_committed_entries());
            self.node.advance_apply();
        }
    }
}

impl super::Voter for RaftVoter {
    type Message = Message;

    fn tick(&mut self) {
        self.node.tick();
        self.process_ready();
    }
    fn step(&mut self, message: Message) {
        let _ = self.node.step(message);
        self.process_ready();
    }
    fn take_messages(&mut self) -> Vec<(u64, Message)> {
        self.process_ready();
        self.outgoing.drain(..).map(|m| (m.to, m)).collect()
    }
    fn is_leader(&self) -> bool {
        self.node.raft.state == raft::StateRole::Leader
    }
    fn propose(&mut self, entry: u64) {
        let _ = self.node.propose(vec![], entry.to_le_bytes().to_vec());
    }
    fn decided(&self) -> u64 {
        self.decided
    }
}
