//! Reports of set-up delays between gateways.

use rand_core::RngCore;

use crate::controller::Controller;
use crate::interface::*;

/// Ticks between two delay reports to other gateways.
const REPORT_INTERVAL_TICKS: u32 = 5;
/// Gateways that get each report. They get many more samples than they have themselves, at a small cost.
const REPORT_RECEIVERS: u32 = 4;
/// No further server is added to a report of this length.
const REPORT_FULL_BYTES: usize = 230;
/// The longest delay that is accepted from a report, in milliseconds.
const MAX_REPORTED_DELAY_MS: u32 = 60_000;

impl Controller {
    /// Reports the delays seen here to a few other gateways, drawn anew each time: among hundreds of gateways
    /// each has too few samples of its own. If all messages are lost, each gateway still has its own samples.
    pub(crate) fn report_delays_to_peers(&mut self) {
        self.ticks_since_report = (self.ticks_since_report + 1) % REPORT_INTERVAL_TICKS;
        let (own_id, gateways) = (self.settings.own_id.0, self.settings.gateways);
        if self.ticks_since_report != 0 || !self.settings.limits.peers || gateways < 2 {
            return;
        }
        let mut text = String::from("1");
        for (id, s) in &mut self.servers {
            let delays = std::mem::take(&mut s.unreported_delays);
            if delays.n > 0 && text.len() < REPORT_FULL_BYTES {
                text += &format!(" {}:{:.0}", id.0, 1e3 * delays.sum / f64::from(delays.n));
            }
        }
        for _ in 0..REPORT_RECEIVERS.min(gateways - 1) {
            let step = 1 + self.rng.next_u32() % (gateways - 1);
            let to = Some(PeerId((own_id + step) % gateways));
            if text.len() > 1 {
                self.actions.push(Action::SendToPeer { to, text: text.clone() });
            }
        }
    }

    /// Adds delays reported by another gateway as samples. Whatever can't be parsed is ignored.
    pub(crate) fn on_delay_report(&mut self, from: PeerId, text: &str) {
        let known =
            self.settings.limits.peers && from != self.settings.own_id && from.0 < self.settings.gateways;
        let Some(servers) = text.strip_prefix("1 ").filter(|_| known) else { return };
        for (id, ms) in servers.split(' ').filter_map(|server| server.split_once(':')) {
            let (Ok(id), Ok(ms)) = (id.parse().map(ServerId), ms.parse::<u32>()) else { continue };
            if let Some(s) = self.servers.get_mut(&id).filter(|_| ms <= MAX_REPORTED_DELAY_MS) {
                s.peer_delays.add(f64::from(ms) / 1e3);
            }
        }
    }
}
