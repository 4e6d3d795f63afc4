//! Fairness of set-ups among clients: weighted deficit round robin (Shreedhar and Varghese, 1995) over one queue a
//! client, so that one client's burst waits behind itself and not in front of the others.

use std::collections::{BTreeMap, VecDeque};

/// Limits of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Set-ups that wait, of all clients.
    pub max_waiting: usize,
    /// Set-ups that wait, of one client.
    pub max_waiting_per_client: usize,
}

/// Why a set-up does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// Its client has as many waiting as it may.
    ClientFull,
    /// As many wait as may, and none of a client that holds more.
    Full,
}

#[derive(Debug)]
struct Queue<T> {
    weight: u32,
    deficit: u32,
    items: VecDeque<T>,
}

impl<T> Queue<T> {
    /// What it holds by its weight.
    fn share(&self) -> f64 {
        self.items.len() as f64 / f64::from(self.weight)
    }
}

/// Queues of set-ups by client `C`. A client without a set-up takes no memory.
#[derive(Debug)]
pub struct FairQueue<C, T> {
    settings: FairQueueSettings,
    queues: BTreeMap<C, Queue<T>>,
    /// Clients with something waiting, in the order of their turns.
    turns: VecDeque<C>,
    waiting: usize,
}

impl<C: Ord + Clone, T> FairQueue<C, T> {
    /// Empty queues.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> Self {
        Self { settings, queues: BTreeMap::new(), turns: VecDeque::new(), waiting: 0 }
    }

    /// Lets a set-up wait; a client's weight is how many it may have in one turn (1 at the least). When all places are
    /// taken, the last one of the client that holds most by its weight makes room, and is given back, if that client
    /// holds more than this one would.
    ///
    /// # Errors
    /// The set-up itself, and why it does not wait.
    pub fn offer(&mut self, client: C, weight: u32, item: T) -> Result<Option<T>, (T, QueueRejection)> {
        let weight = weight.max(1);
        let held = self.queues.get(&client).map_or(0, |q| q.items.len());
        if held >= self.settings.max_waiting_per_client {
            return Err((item, QueueRejection::ClientFull));
        }
        let mut pushed_out = None;
        if self.waiting >= self.settings.max_waiting {
            let mine = (held + 1) as f64 / f64::from(weight);
            let victim = self.largest().filter(|c| self.queues.get(c).is_some_and(|q| q.share() > mine));
            let Some(victim) = victim else { return Err((item, QueueRejection::Full)) };
            pushed_out = self.pop_newest(&victim);
        }
        let queue = self.queues.entry(client.clone()).or_insert_with(|| Queue {
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
        Ok(pushed_out)
    }

    /// The next set-up whose turn it is.
    pub fn pop(&mut self) -> Option<(C, T)> {
        self.pop_where(|_| true)
    }

    /// The next set-up whose turn it is, of those clients that may go now. The others keep their places.
    pub fn pop_where(&mut self, may_go: impl Fn(&C) -> bool) -> Option<(C, T)> {
        loop {
            let at = self.turns.iter().position(&may_go)?;
            let client = self.turns.remove(at)?;
            self.turns.push_front(client.clone());
            let Some(queue) = self.queues.get_mut(&client) else {
                self.turns.pop_front();
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            let Some(item) = queue.items.pop_front() else {
                self.end_turns(&client);
                continue;
            };
            self.waiting -= 1;
            queue.deficit -= 1;
            if queue.items.is_empty() {
                self.end_turns(&client);
            } else if queue.deficit == 0 {
                self.turns.rotate_left(1);
            }
            return Some((client, item));
        }
    }

    /// A client without a set-up loses what is left of its turn: saved-up turns would be a burst later.
    fn end_turns(&mut self, client: &C) {
        self.queues.remove(client);
        self.turns.pop_front();
    }

    /// Takes set-ups out that are no longer wanted, as when their caller has left.
    pub fn remove(&mut self, client: &C, unwanted: impl Fn(&T) -> bool) {
        let Some(queue) = self.queues.get_mut(client) else { return };
        let before = queue.items.len();
        queue.items.retain(|item| !unwanted(item));
        self.waiting -= before - queue.items.len();
        if queue.items.is_empty() {
            self.queues.remove(client);
            self.turns.retain(|c| c != client);
        }
    }

    /// Takes the newest set-up out of the client that holds most by its weight.
    pub fn pop_largest(&mut self) -> Option<(C, T)> {
        let client = self.largest()?;
        let item = self.pop_newest(&client)?;
        Some((client, item))
    }

    /// Takes one out of a client's queue, the newest, as when its items are all alike.
    pub fn drop_newest(&mut self, client: &C) {
        drop(self.pop_newest(client));
    }

    fn largest(&self) -> Option<C> {
        let by_share = |a: &(&C, &Queue<T>), b: &(&C, &Queue<T>)| a.1.share().total_cmp(&b.1.share());
        self.queues.iter().max_by(by_share).map(|(client, _)| client.clone())
    }

    fn pop_newest(&mut self, client: &C) -> Option<T> {
        let queue = self.queues.get_mut(client)?;
        let item = queue.items.pop_back();
        self.waiting -= usize::from(item.is_some());
        // A heavy client may push out the only set-up of a light one, whose turn then goes too: it would otherwise
        // have two when it comes again.
        if queue.items.is_empty() {
            self.queues.remove(client);
            self.turns.retain(|c| c != client);
        }
        item
    }

    /// Set-ups that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Clients with something waiting.
    #[must_use]
    pub fn clients(&self) -> usize {
        self.queues.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fair(waiting: usize, waiting_per_client: usize) -> FairQueue<&'static str, u32> {
        FairQueue::new(FairQueueSettings { max_waiting: waiting, max_waiting_per_client: waiting_per_client })
    }

    fn order(f: &mut FairQueue<&'static str, u32>, n: usize) -> String {
        (0..n).filter_map(|_| f.pop()).map(|(c, _)| c).collect()
    }

    #[test]
    fn one_clients_burst_waits_behind_itself() {
        let mut f = fair(1000, 500);
        (0..300).for_each(|n| assert!(f.offer("a", 1, n).is_ok()));
        (0..3).for_each(|n| assert!(f.offer("b", 1, n).is_ok()));
        assert_eq!(order(&mut f, 8), "abababaa");
        assert_eq!(f.waiting(), 295);
    }

    #[test]
    fn turns_go_by_weight_and_are_not_saved_up() {
        let mut f = fair(1000, 500);
        for n in 0..10 {
            assert!(f.offer("a", 3, n).is_ok() && f.offer("b", 1, n).is_ok());
        }
        assert_eq!(order(&mut f, 8), "aaabaaab");
        let mut f = fair(1000, 500);
        assert!(f.offer("a", 3, 0).is_ok());
        assert_eq!(order(&mut f, 1), "a");
        (0..4).for_each(|n| assert!(f.offer("a", 3, n).is_ok() && f.offer("b", 1, n).is_ok()));
        assert_eq!(order(&mut f, 5), "aaaba");
    }

    #[test]
    fn a_full_house_gives_the_newest_of_the_largest_holder_to_one_that_holds_less() {
        let mut f = fair(10, 100);
        (0..10).for_each(|n| assert_eq!(f.offer("a", 1, n), Ok(None)));
        assert_eq!(f.offer("b", 1, 100), Ok(Some(9)));
        assert_eq!(f.offer("a", 1, 11), Err((11, QueueRejection::Full)));
        (1..5).for_each(|n| assert!(f.offer("b", 1, 100 + n).is_ok()));
        assert_eq!(f.offer("b", 1, 200), Err((200, QueueRejection::Full)), "both hold five");
        assert_eq!(f.waiting(), 10);
    }

    #[test]
    fn a_client_is_held_to_its_own_limit_and_leaves_nothing_behind() {
        let mut f = fair(1000, 2);
        assert!(f.offer("a", 1, 1).is_ok() && f.offer("a", 1, 2).is_ok());
        assert_eq!(f.offer("a", 1, 3), Err((3, QueueRejection::ClientFull)));
        assert!(f.offer("b", 1, 4).is_ok());
        f.remove(&"a", |_| true);
        assert_eq!((f.clients(), f.waiting()), (1, 1));
        assert_eq!((order(&mut f, 9), f.clients(), f.pop()), ("b".into(), 0, None));
    }

    #[test]
    fn counts_hold_in_a_long_seeded_run() {
        let mut f: FairQueue<u64, u64> =
            FairQueue::new(FairQueueSettings { max_waiting: 50, max_waiting_per_client: 20 });
        let (mut state, mut inside) = (12345u64, 0usize);
        for n in 0..100_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let client = (state >> 40) % 9;
            match (state >> 33) % 5 {
                0 => inside -= usize::from(f.pop().is_some()),
                1 if n % 7 == 0 => {
                    let before = f.waiting();
                    f.remove(&client, |item| item % 2 == 0);
                    inside -= before - f.waiting();
                }
                _ => inside += usize::from(f.offer(client, 1 + (client as u32 % 3), n) == Ok(None)),
            }
            assert_eq!(f.waiting(), inside);
            assert!(inside <= 50 && f.clients() <= 9 && f.turns.len() == f.clients());
        }
        while f.pop().is_some() {}
        assert_eq!((f.waiting(), f.clients(), f.turns.len()), (0, 0, 0));
    }
}
