//! What is asked of the name server, and which datagram is its answer.
//!
//! Questions go out at a steady pace, whether the last was answered or not: a lost answer then costs one pace. The
//! latest few may still be answered, so that an answer that takes longer than a pace is of use.

use std::collections::VecDeque;
use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_dns::{Name, RecordType, Response, ResponseError, query, read_response};

use crate::switch_list::LIST_DNS_NAME;

/// Between two questions: news is at most this old when it is heard, while the page counts it as told after 1.5 s.
const PACE: Duration = Duration::from_millis(250);
/// Questions that may still be answered: those of the last second.
const OUTSTANDING: usize = 4;

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AskError {
    /// It answers no question that is still open.
    #[error("the answer is to no question that is open")]
    NoOpenQuery,
    /// It cannot be read or relied on.
    #[error(transparent)]
    InvalidResponse(#[from] ResponseError),
}

/// A question to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListQuery {
    /// The datagram.
    pub datagram: Vec<u8>,
    /// When the next is to be sent.
    pub next_at: Time,
}

/// The questions to one name server.
#[derive(Debug)]
pub struct Ask {
    name: Name,
    open: VecDeque<u16>,
}

impl Default for Ask {
    fn default() -> Self {
        Self::new()
    }
}

impl Ask {
    /// Nothing has been asked.
    #[must_use]
    pub fn new() -> Self {
        // The name is a constant that is one; a wrong one would be found by the first test.
        let name = LIST_DNS_NAME.parse().unwrap_or_else(|_| unreachable!("{LIST_DNS_NAME} is a name"));
        Self { name, open: VecDeque::new() }
    }

    /// The next question; `id` is a number that nobody can guess (RFC 5452 §4).
    pub fn next_query(&mut self, now: Time, id: u16) -> ListQuery {
        self.open.push_back(id);
        if self.open.len() > OUTSTANDING {
            self.open.pop_front();
        }
        ListQuery { datagram: query(id, &self.name, RecordType::Srv), next_at: now.plus(PACE) }
    }

    /// Reads a datagram of the name server's. A question whose answer is useless stays open: the good one may come
    /// behind it.
    ///
    /// # Errors
    /// Says why it is not used.
    pub fn accept_response(&mut self, datagram: &[u8]) -> Result<Response, AskError> {
        let id = datagram.get(..2).and_then(|b| b.try_into().ok()).map(u16::from_be_bytes);
        let id = id.filter(|id| self.open.contains(id)).ok_or(AskError::NoOpenQuery)?;
        let answer = read_response(datagram, id, &self.name, RecordType::Srv)?;
        self.open.retain(|open| *open != id);
        Ok(answer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn reply(question: &[u8], code: u8) -> Vec<u8> {
        let mut reply = question.to_vec();
        (reply[2], reply[3]) = (0x80, code);
        reply
    }

    #[test]
    fn the_latest_questions_may_be_answered_once_each_and_a_failure_leaves_one_open() {
        let mut ask = Ask::new();
        let now = Time::from_nanos(0);
        let asked: Vec<Vec<u8>> = (1..=5).map(|id| ask.next_query(now, id).datagram).collect();
        assert_eq!(ask.accept_response(&reply(&asked[0], 0)), Err(AskError::NoOpenQuery), "too old");
        assert_eq!(
            ask.accept_response(&reply(&asked[1], 2)),
            Err(AskError::InvalidResponse(ResponseError::ResponseCode(2)))
        );
        assert!(ask.accept_response(&reply(&asked[1], 0)).is_ok());
        assert_eq!(ask.accept_response(&reply(&asked[1], 0)), Err(AskError::NoOpenQuery), "a second copy");
        assert!(ask.accept_response(&reply(&asked[4], 0)).is_ok());
        assert_eq!(ask.accept_response(&[]), Err(AskError::NoOpenQuery));
    }
}
