//! Fair queueing of set-ups among clients: weighted deficit round robin (Shreedhar and Varghese, 1995) over
//! one queue per client, so that a client's burst delays that client and not the others.

use std::collections::{BTreeMap, VecDeque};

/// Limits of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// The most waiting set-ups, of all clients.
    pub max_waiting: usize,
    /// The most waiting set-ups of one client.
    pub max_waiting_per_client: usize,
}

/// Why a set-up was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// Its client has reached its limit.
    ClientFull,
    /// The queue is full, and no client holds more than this one.
    Full,
}

#[derive(Debug)]
struct ClientQueue<T> {
    weight: u32,
    /// Items that the client may still take in its present turn.
    deficit: u32,
    items: VecDeque<T>,
}

impl<T> ClientQueue<T> {
    /// The queue's length divided by its weight.
    fn weighted_length(&self) -> f64 {
        self.items.len() as f64 / f64::from(self.weight)
    }
}

/// A fair queue of set-ups `T` by client `C`. A client without a waiting set-up takes no memory.
#[derive(Debug)]
pub struct FairQueue<C, T> {
    settings: FairQueueSettings,
    queues: BTreeMap<C, ClientQueue<T>>,
    /// Clients with waiting set-ups, in the order of their turns.
    turns: VecDeque<C>,
    waiting: usize,
}

impl<C: Ord + Clone, T> FairQueue<C, T> {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> Self {
        Self { settings, queues: BTreeMap::new(), turns: VecDeque::new(), waiting: 0 }
    }

    /// Queues a set-up. The weight is the number of set-ups that the client may take per turn (at least 1).
    /// When the queue is full, the newest set-up of the client with the most set-ups relative to its weight
    /// is removed and returned, if that client holds more than this one would.
    ///
    /// # Errors
    /// The set-up itself, and why it was not queued.
    pub fn offer(&mut self, client: C, weight: u32, item: T) -> Result<Option<T>, (T, QueueRejection)> {
        let weight = weight.max(1);
        let held = self.queues.get(&client).map_or(0, |q| q.items.len());
        if held >= self.settings.max_waiting_per_client {
            return Err((item, QueueRejection::ClientFull));
        }
        let mut displaced = None;
        if self.waiting >= self.settings.max_waiting {
            let own_length = (held + 1) as f64 / f64::from(weight);
            let holds_more = |c: &C| self.queues.get(c).is_some_and(|q| q.weighted_length() > own_length);
            let Some(victim) = self.largest().filter(holds_more) else {
                return Err((item, QueueRejection::Full));
            };
            displaced = self.pop_newest(&victim);
        }
        let queue = self.queues.entry(client.clone()).or_insert_with(|| ClientQueue {
            weight,
            deficit: 0,
            items: VecDeque::new(),
        });
        queue.weight = weight;
        if queue.items.is_empty() {
            self.turns.push_back(client);
        }
        queue.items.push_back(item);
        self.waiting += 1;
        Ok(displaced)
    }

    /// Removes and returns the set-up whose turn it is.
    pub fn pop(&mut self) -> Option<(C, T)> {
        self.pop_where(|_| true)
    }

    /// Removes and returns the set-up whose turn it is among the eligible clients. The others keep their
    /// positions.
    pub fn pop_where(&mut self, is_eligible: impl Fn(&C) -> bool) -> Option<(C, T)> {
        loop {
            let position = self.turns.iter().position(&is_eligible)?;
            let client = self.turns.remove(position)?;
            self.turns.push_front(client.clone());
            let Some(queue) = self.queues.get_mut(&client) else {
                self.turns.pop_front();
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            let Some(item) = queue.items.pop_front() else {
                self.remove_first_client(&client);
                continue;
            };
            self.waiting -= 1;
            queue.deficit -= 1;
            if queue.items.is_empty() {
                self.remove_first_client(&client);
            } else if queue.deficit == 0 {
                self.turns.rotate_left(1);
            }
            return Some((client, item));
        }
    }

    /// Removes the client whose turn it is. A client without a waiting set-up loses the rest of its turn,
    /// because saved turns would become a burst later.
    fn remove_first_client(&mut self, client: &C) {
        self.queues.remove(client);
        self.turns.pop_front();
    }

    /// Removes a client's set-ups that are no longer wanted, for example because the caller cancelled.
    pub fn remove(&mut self, client: &C, is_unwanted: impl Fn(&T) -> bool) {
        let Some(queue) = self.queues.get_mut(client) else { return };
        let before = queue.items.len();
        queue.items.retain(|item| !is_unwanted(item));
        self.waiting -= before - queue.items.len();
        if queue.items.is_empty() {
            self.queues.remove(client);
            self.turns.retain(|c| c != client);
        }
    }

    /// Removes and returns the newest set-up of the client with the most set-ups relative to its weight.
    pub fn pop_largest(&mut self) -> Option<(C, T)> {
        let client = self.largest()?;
        let item = self.pop_newest(&client)?;
        Some((client, item))
    }

    /// Drops the newest set-up of a client. Suits queues whose items are interchangeable.
    pub fn drop_newest(&mut self, client: &C) {
        drop(self.pop_newest(client));
    }

    fn largest(&self) -> Option<C> {
        let by_weighted_length = |a: &(&C, &ClientQueue<T>), b: &(&C, &ClientQueue<T>)| {
            a.1.weighted_length().total_cmp(&b.1.weighted_length())
        };
        self.queues.iter().max_by(by_weighted_length).map(|(client, _)| client.clone())
    }

    fn pop_newest(&mut self, client: &C) -> Option<T> {
        let queue = self.queues.get_mut(client)?;
        let item = queue.items.pop_back();
        self.waiting -= usize::from(item.is_some());
        // A client with a high weight may displace the only set-up of one with a low weight. That client's
        // turn must go too, or it would have two turns when it comes back.
        if queue.items.is_empty() {
            self.queues.remove(client);
            self.turns.retain(|c| c != client);
        }
        item
    }

    /// Waiting set-ups.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Clients with waiting set-ups.
    #[must_use]
    pub fn clients(&self) -> usize {
        self.queues.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn new_queue(waiting: usize, waiting_per_client: usize) -> FairQueue<&'static str, u32> {
        FairQueue::new(FairQueueSettings { max_waiting: waiting, max_waiting_per_client: waiting_per_client })
    }

    fn pop_clients(queue: &mut FairQueue<&'static str, u32>, n: usize) -> String {
        (0..n).filter_map(|_| queue.pop()).map(|(c, _)| c).collect()
    }

    #[test]
    fn a_burst_delays_only_its_own_client() {
        let mut queue = new_queue(1000, 500);
        (0..300).for_each(|n| assert!(queue.offer("a", 1, n).is_ok()));
        (0..3).for_each(|n| assert!(queue.offer("b", 1, n).is_ok()));
        assert_eq!(pop_clients(&mut queue, 8), "abababaa");
        assert_eq!(queue.waiting(), 295);
    }

    #[test]
    fn turns_follow_weights_and_unused_turns_are_not_saved() {
        let mut queue = new_queue(1000, 500);
        for n in 0..10 {
            assert!(queue.offer("a", 3, n).is_ok() && queue.offer("b", 1, n).is_ok());
        }
        assert_eq!(pop_clients(&mut queue, 8), "aaabaaab");
        let mut queue = new_queue(1000, 500);
        assert!(queue.offer("a", 3, 0).is_ok());
        assert_eq!(pop_clients(&mut queue, 1), "a");
        (0..4).for_each(|n| assert!(queue.offer("a", 3, n).is_ok() && queue.offer("b", 1, n).is_ok()));
        assert_eq!(pop_clients(&mut queue, 5), "aaaba");
    }

    #[test]
    fn a_full_queue_drops_the_newest_set_up_of_the_largest_client_for_one_that_holds_less() {
        let mut queue = new_queue(10, 100);
        (0..10).for_each(|n| assert_eq!(queue.offer("a", 1, n), Ok(None)));
        assert_eq!(queue.offer("b", 1, 100), Ok(Some(9)));
        assert_eq!(queue.offer("a", 1, 11), Err((11, QueueRejection::Full)));
        (1..5).for_each(|n| assert!(queue.offer("b", 1, 100 + n).is_ok()));
        assert_eq!(queue.offer("b", 1, 200), Err((200, QueueRejection::Full)), "both hold five");
        assert_eq!(queue.waiting(), 10);
    }

    #[test]
    fn a_client_is_limited_and_leaves_no_state_behind() {
        let mut queue = new_queue(1000, 2);
        assert!(queue.offer("a", 1, 1).is_ok() && queue.offer("a", 1, 2).is_ok());
        assert_eq!(queue.offer("a", 1, 3), Err((3, QueueRejection::ClientFull)));
        assert!(queue.offer("b", 1, 4).is_ok());
        queue.remove(&"a", |_| true);
        assert_eq!((queue.clients(), queue.waiting()), (1, 1));
        assert_eq!((pop_clients(&mut queue, 9), queue.clients(), queue.pop()), ("b".into(), 0, None));
    }

    #[test]
    fn counts_stay_consistent_in_a_long_random_run() {
        let mut queue: FairQueue<u64, u64> =
            FairQueue::new(FairQueueSettings { max_waiting: 50, max_waiting_per_client: 20 });
        let (mut state, mut expected) = (12345u64, 0usize);
        for n in 0..100_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let client = (state >> 40) % 9;
            match (state >> 33) % 5 {
                0 => expected -= usize::from(queue.pop().is_some()),
                1 if n % 7 == 0 => {
                    let before = queue.waiting();
                    queue.remove(&client, |item| item % 2 == 0);
                    expected -= before - queue.waiting();
                }
                _ => expected += usize::from(queue.offer(client, 1 + (client as u32 % 3), n) == Ok(None)),
            }
            assert_eq!(queue.waiting(), expected);
            assert!(expected <= 50 && queue.clients() <= 9 && queue.turns.len() == queue.clients());
        }
        while queue.pop().is_some() {}
        assert_eq!((queue.waiting(), queue.clients(), queue.turns.len()), (0, 0, 0));
    }
}
