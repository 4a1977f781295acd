//! The credit of one tenant, as one host estimates it.

use crate::hosts::seconds;
use crate::limit::UsageLimit;
use crate::report::{HostId, TenantKey, UsageEntry};
use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Part of the burst that hosts use together. The rest covers usage that is not yet reported.
const USABLE_BURST: f64 = 0.8;
/// The same for a tenant that has used most of its rate in the last window, since more usage at once
/// would come on top of it.
const BUSY_BURST: f64 = 0.4;
/// Usage of the last window, as a part of what the limit allows in it, from which on the usable part
/// falls, and at which it has fallen.
const BUSY_FROM: f64 = 0.55;
const BUSY_TO: f64 = 0.78;
/// Length of the window of the bound, s.
const WINDOW_S: usize = 8;
/// Part of the burst that a host which has just started takes for the credit of all hosts. After a
/// loss of all hosts, callers come back at once; without this credit their calls were refused for 2 s.
/// It is not spent before most other hosts are heard, nor beyond the share of the host.
const START_LEVEL: f64 = 0.3;
/// Part of the burst above which calls are admitted freely.
const FREE_LEVEL: f64 = 0.41;
/// Share of the hosts that have to be heard for that.
const FREE_SHARE: f64 = 0.75;
/// Usage, in calls, of which the other hosts need not know at once, for tenants whose share of the
/// burst at a host is smaller.
const UNREPORTED_CALLS: f64 = 2.0;
/// Times that usage that a host admits freely between messages of the others. Calls of a tenant at
/// half of its limit that arrive at random are not refused with it.
const FREE_FACTOR: f64 = 4.0;
/// Times per second that this allowance is restored while all other hosts are heard. A host that
/// hears none does not restore it.
const FREE_RESTORES_PER_S: f64 = 4.0;
/// Time in which remaining credit is spent, and exceeded credit is saved, s. With reports that are
/// 0.7 s old, shorter times make the rates oscillate.
const SPEND_TIME_S: f64 = 2.0;
/// Part of a host's share of the burst that it may spend at once.
const SPEND_DEPTH: f64 = 0.25;
/// Time constant of the demand, s; demand that has moved to another host is gone within 2 s.
const DEMAND_TIME_S: f64 = 0.5;
/// Time constant of the usage rate in reports, s.
const RATE_TIME_S: f64 = 4.0;
/// Calls per second from which on a host that is asked for more than it admits will admit its
/// present rate; the arrival of fewer calls says little about the next second.
const STEADY_CALLS_PER_S: f64 = 8.0;
/// Time for which the figures of another host are used.
const ENTRY_LIFETIME: ClockTime = ClockTime::from_secs(5);
/// Age up to which reported demand counts fully, and the time constant with which it fades then, s.
/// Hosts repeat their reports within that age while a tenant is near its limit.
const DEMAND_GRACE_S: f64 = 1.0;
const DEMAND_FADE_S: f64 = 0.5;
/// Time after which a report with new usage is repeated once if no other has followed.
const REPEAT_TIME: ClockTime = ClockTime::from_ms(700);
/// Interval at which the sums over the other hosts are computed anew.
const SUM_INTERVAL: ClockTime = ClockTime::from_ms(250);
/// Number of hosts up to which the times above hold; with more hosts each of them may report less
/// often, and the times grow in proportion.
const PACE_HOSTS: f64 = 90.0;
/// Time in which a host that is asked again takes over the whole rate, s.
const SHARE_TIME_S: f64 = 1.0;
/// Time without a call after which a host keeps no more credit than its share of the burst.
const ASK_LIFETIME: ClockTime = ClockTime::from_secs(2);
/// Longest time for which credit at a rate is given at once; rates change faster.
const MAX_CREDIT_TIME_S: f64 = 1.0;

/// Moving average of usage per second.
#[derive(Clone, Copy, Debug, Default)]
struct UsageRate {
    per_s: f64,
    at: ClockTime,
}

impl UsageRate {
    fn get(self, time_s: f64, now: ClockTime) -> f64 {
        self.per_s * (-seconds(now.since(self.at)) / time_s).exp()
    }

    fn add(&mut self, cost: f64, time_s: f64, now: ClockTime) {
        self.per_s = self.get(time_s, now) + cost / time_s;
        self.at = now;
    }
}

/// Newest figures of another host.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    process: u32,
    charged: u64,
    refunded: u64,
    rate: f32,
    demand: f32,
    at: ClockTime,
    /// Whether `rate` is counted in the sums.
    counted: bool,
    /// Part of the demand that is counted in its sum.
    counted_demand: f32,
}

/// What a host knows about all hosts when it decides about a tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetView {
    pub(crate) now: ClockTime,
    /// Number of known hosts.
    pub(crate) hosts: usize,
    /// Sum over the hosts of their share times the seconds for which they were heard.
    pub(crate) heard_s: f64,
    /// Share of this host.
    pub(crate) own_share: f64,
    /// Share of the hosts that are not silent, this one included.
    pub(crate) fresh: f64,
    /// Number between 0 and 1 for this host and moment.
    pub(crate) random: f64,
}

impl FleetView {
    /// Factor for times that depend on how often each host may report.
    fn pace(self) -> f64 {
        (self.hosts as f64 / PACE_HOSTS).max(1.0)
    }

    fn entry_lifetime(self) -> ClockTime {
        ENTRY_LIFETIME.scale(self.pace())
    }

    /// Returns the part of a reported demand that counts after a time.
    fn demand_weight(self, at: ClockTime) -> f64 {
        let age_s = seconds(self.now.since(at)) / self.pace();
        (-(age_s - DEMAND_GRACE_S).max(0.0) / DEMAND_FADE_S).exp()
    }
}

/// Usage of a tenant at this host since the start of its process; the counters never fall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UsageCounters {
    pub(crate) charged: u64,
    pub(crate) refunded: u64,
}

impl UsageCounters {
    fn net(self) -> f64 {
        self.charged as f64 - self.refunded as f64
    }
}

/// Last report about the tenant by this host.
#[derive(Clone, Copy, Debug, Default)]
struct OwnReport {
    counters: UsageCounters,
    rate: f64,
    demand: f64,
    at: ClockTime,
}

/// State of one tenant with a limit.
#[derive(Clone, Debug)]
pub(crate) struct TenantState {
    pub(crate) limit: UsageLimit,
    /// Credit of all hosts, before usage that is expected but not reported.
    level: f64,
    /// `FleetView::heard_s` up to which the level was credited.
    heard_s: f64,
    /// Usage that this host may admit at its own rate.
    credit: f64,
    /// Usage that this host has admitted freely since it heard the others.
    free_used: f64,
    settled_at: ClockTime,
    was_free: bool,
    /// Usage per second that this host admits at its own rate.
    admitted_rate: f64,
    /// Credit at which the next call is admitted, as a part of its cost. It is drawn anew after
    /// each call, so that fractions of calls do not add up across hosts.
    threshold: f64,
    /// Usage of all hosts by second, as it became known.
    window: [f64; WINDOW_S],
    /// Second that the window ends with.
    window_end: u64,
    /// When a call was last decided.
    asked_at: ClockTime,
    /// Since when calls were decided without a long pause.
    asked_since: ClockTime,
    /// Since when most other hosts have been heard.
    whole_since: ClockTime,
    pub(crate) counters: UsageCounters,
    reported: OwnReport,
    /// Whether the last report had new usage and is to be repeated, as messages may get lost.
    repeat_due: bool,
    demand: UsageRate,
    used: UsageRate,
    /// Moving average of the cost of a call.
    call_cost: f64,
    peers: HashMap<HostId, PeerUsage>,
    /// Sums over the counted peers.
    peers_demand: f64,
    peers_rate: f64,
    /// Sum of rate times the time of the report, s.
    peers_rate_time: f64,
    summed_at: Option<ClockTime>,
}

/// Credit of a tenant at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Credit {
    /// Credit of all hosts that this host may count on.
    pub(crate) usable: f64,
    /// Usage per second that this host admits.
    pub(crate) rate: f64,
    is_free: bool,
}

impl TenantState {
    /// Creates the state of a tenant that gets a limit; `counters` are those of an earlier limit.
    pub(crate) fn new(limit: UsageLimit, counters: UsageCounters, view: FleetView) -> Self {
        Self {
            limit,
            level: limit.burst * START_LEVEL,
            heard_s: view.heard_s,
            credit: 0.0,
            free_used: 0.0,
            settled_at: view.now,
            was_free: false,
            admitted_rate: 0.0,
            threshold: view.random,
            window: [0.0; WINDOW_S],
            window_end: 0,
            asked_at: view.now,
            asked_since: view.now,
            whole_since: view.now,
            counters,
            reported: OwnReport {
                counters,
                ..OwnReport::default()
            },
            repeat_due: false,
            demand: UsageRate::default(),
            used: UsageRate::default(),
            call_cost: 0.0,
            peers: HashMap::new(),
            peers_demand: 0.0,
            peers_rate: 0.0,
            peers_rate_time: 0.0,
            summed_at: None,
        }
    }

    /// Returns the largest credit that all hosts hold together.
    fn capacity(&self, hosts: usize) -> f64 {
        if hosts == 1 {
            self.limit.burst
        } else {
            let allowed = self.limit.rate_per_s * WINDOW_S as f64 + self.limit.burst;
            let used = self.window.iter().sum::<f64>() / allowed;
            let busy = ((used - BUSY_FROM) / (BUSY_TO - BUSY_FROM)).clamp(0.0, 1.0);
            self.limit.burst * (USABLE_BURST + (BUSY_BURST - USABLE_BURST) * busy)
        }
    }

    /// Takes usage of any host from the credit.
    fn debit(&mut self, amount: f64, now: ClockTime) {
        self.level -= amount;
        self.advance(now);
        self.window[self.window_end as usize % WINDOW_S] += amount;
    }

    /// Moves the window to the present.
    fn advance(&mut self, now: ClockTime) {
        let end = now.as_ms() / 1_000;
        for second in (self.window_end + 1..=end).rev().take(WINDOW_S) {
            self.window[second as usize % WINDOW_S] = 0.0;
        }
        self.window_end = self.window_end.max(end);
    }

    /// Returns the share of this host in the demand of all hosts.
    fn demand_share(&self, view: FleetView) -> f64 {
        let own = self.demand.get(DEMAND_TIME_S, view.now);
        let all = own + self.peers_demand.max(0.0);
        if all > 0.0 {
            (own / all).min(self.largest_share(view))
        } else {
            0.0
        }
    }

    /// Returns the largest share that this host takes. It grows with the time since the host was
    /// first asked and since it has heard most others: until reports arrive, many hosts whose calls
    /// start at the same moment, or that hear each other again, would each take the whole rate.
    fn largest_share(&self, view: FleetView) -> f64 {
        let by_weight = view.own_share / view.fresh.max(view.own_share);
        if view.fresh < FREE_SHARE {
            return by_weight;
        }
        let since = self.asked_since.max(self.whole_since);
        let known_s = seconds(view.now.since(since));
        by_weight + known_s / (SHARE_TIME_S * view.pace())
    }

    /// Returns the seconds for which this host had the whole demand in the time since the last
    /// settlement, as an integral of its share. Its own demand faded in that time.
    fn share_seconds(&self, elapsed_s: f64, view: FleetView) -> f64 {
        let time_s = elapsed_s.min(MAX_CREDIT_TIME_S);
        let end = self.demand.get(DEMAND_TIME_S, view.now);
        let start = end * (elapsed_s / DEMAND_TIME_S).min(50.0).exp();
        let others = self.peers_demand.max(0.0);
        let whole = if start <= 0.0 {
            0.0
        } else if others <= 0.0 {
            time_s
        } else {
            DEMAND_TIME_S * ((start + others) / (end + others)).ln()
        };
        whole.min(time_s * self.largest_share(view))
    }

    /// Brings the credit up to date.
    pub(crate) fn settle(&mut self, view: FleetView) -> Credit {
        let now = view.now;
        self.sum(view);
        self.advance(now);
        if view.fresh < FREE_SHARE {
            self.whole_since = now;
        }
        let capacity = self.capacity(view.hosts);
        let elapsed_s = seconds(now.since(self.settled_at));
        let heard_s = (view.heard_s - self.heard_s).max(0.0);
        self.heard_s = view.heard_s;
        self.settled_at = now;
        let expected = (self.peers_rate * seconds(now) - self.peers_rate_time).max(0.0);
        self.level = (self.level + self.limit.rate_per_s * heard_s).min(capacity + expected);
        let reserved = capacity * (1.0 - view.fresh).max(0.0);
        let usable = self.level - expected - reserved;
        let is_free = view.fresh >= FREE_SHARE && usable >= FREE_LEVEL * self.limit.burst;
        let share = self.demand_share(view);
        let whole_rate = self.limit.rate_per_s * view.fresh + usable / SPEND_TIME_S;
        let whole_rate = whole_rate.max(0.0);
        let rate = share * whole_rate;
        self.was_free = is_free;
        self.admitted_rate = rate;
        let depth = share * capacity * SPEND_DEPTH;
        let is_asked = now.since(self.asked_at) < ASK_LIFETIME;
        let enough = if is_asked {
            self.call_cost * self.threshold
        } else {
            0.0
        };
        let credit = self.credit + whole_rate * self.share_seconds(elapsed_s, view);
        self.credit = credit.min(depth.max(enough));
        let others_s = (heard_s - view.own_share * elapsed_s).max(0.0);
        let allowance = self.allowance(view, capacity, share) * FREE_FACTOR;
        let restored = allowance * FREE_RESTORES_PER_S * others_s;
        self.free_used = (self.free_used - restored).max(0.0);
        Credit {
            usable,
            rate,
            is_free,
        }
    }

    /// Returns the usage that this host may admit before the others know of it.
    fn allowance(&self, view: FleetView, capacity: f64, share: f64) -> f64 {
        let by_share = share.max(view.own_share) * capacity * SPEND_DEPTH;
        by_share.max(self.call_cost * UNREPORTED_CALLS)
    }

    /// Charges a call; returns the time after which it can be admitted if it is refused.
    pub(crate) fn charge(&mut self, cost: u64, view: FleetView) -> Result<(), ClockTime> {
        let now = view.now;
        let amount = cost as f64;
        self.call_cost = if self.call_cost > 0.0 {
            self.call_cost * 0.9 + amount * 0.1
        } else {
            amount
        };
        if now.since(self.asked_at) >= ASK_LIFETIME {
            self.asked_since = now;
        }
        // The time until now is settled by the demand until now.
        self.settle(view);
        self.demand.add(amount, DEMAND_TIME_S, now);
        self.asked_at = now;
        let credit = self.settle(view);
        if view.hosts == 1 {
            let need = amount.min(self.limit.burst);
            if self.level < need {
                return Err(wait_time(need - self.level, self.limit.rate_per_s));
            }
        } else if credit.is_free && self.free_used <= self.free_allowance(view) {
            self.free_used += amount;
        } else if self.may_spend(amount, view) {
            self.credit -= amount;
            self.threshold = view.random;
        } else {
            let missing = amount * self.threshold - self.credit;
            return Err(wait_time(missing, credit.rate));
        }
        self.debit(amount, now);
        self.counters.charged += cost;
        self.used.add(amount, RATE_TIME_S, now);
        Ok(())
    }

    /// Returns the usage that this host may admit freely without hearing the others.
    fn free_allowance(&self, view: FleetView) -> f64 {
        let share = self.demand_share(view);
        self.allowance(view, self.capacity(view.hosts), share) * FREE_FACTOR
    }

    /// Returns whether this host's own credit covers a call, and the others know enough of its
    /// usage.
    fn may_spend(&self, amount: f64, view: FleetView) -> bool {
        let share = self.demand_share(view);
        let allowance = self.allowance(view, self.capacity(view.hosts), share);
        self.credit >= amount * self.threshold && self.unexpected(view) <= allowance
    }

    /// Returns the usage beyond what the other hosts expect.
    fn unexpected(&self, view: FleetView) -> f64 {
        let age = view.now.since(self.reported.at);
        let expected = if age < view.entry_lifetime() {
            self.reported.rate * seconds(age)
        } else {
            0.0
        };
        self.counters.net() - self.reported.counters.net() - expected
    }

    /// Returns usage of a call that did not run.
    pub(crate) fn refund(&mut self, cost: u64, view: FleetView) {
        let amount = cost as f64;
        let capacity = self.capacity(view.hosts);
        self.counters.refunded += cost;
        self.debit(-amount, view.now);
        self.credit = (self.credit + amount).min(capacity);
        self.free_used = (self.free_used - amount).max(0.0);
    }

    /// Sets another limit; a lower burst cuts the credit at once.
    pub(crate) fn set_limit(&mut self, limit: UsageLimit, view: FleetView) {
        self.settle(view);
        self.limit = limit;
        self.settle(view);
    }

    /// Applies the figures of another host.
    pub(crate) fn receive(
        &mut self,
        host: HostId,
        process: u32,
        entry: &UsageEntry,
        view: FleetView,
    ) {
        self.settle(view);
        let old = self.peers.get(&host).copied();
        let (charged, refunded) = match old {
            Some(old) if old.process == process => {
                if entry.charged < old.charged || entry.refunded < old.refunded {
                    // An older message that was overtaken.
                    return;
                }
                (entry.charged - old.charged, entry.refunded - old.refunded)
            }
            // All usage of a new process is news.
            Some(old) if old.process < process => (entry.charged, entry.refunded),
            Some(old) if view.now.since(old.at) < view.entry_lifetime() => return,
            _ => (u64::from(entry.recent), 0),
        };
        if let Some(old) = old {
            self.uncount(&old);
        }
        self.debit(charged as f64 - refunded as f64, view.now);
        let usage = PeerUsage {
            process,
            charged: entry.charged,
            refunded: entry.refunded,
            rate: entry.rate as f32,
            demand: entry.demand as f32,
            at: view.now,
            counted: true,
            counted_demand: entry.demand as f32,
        };
        self.peers_rate += f64::from(usage.rate);
        self.peers_rate_time += f64::from(usage.rate) * seconds(usage.at);
        self.peers_demand += f64::from(usage.demand);
        self.peers.insert(host, usage);
    }

    fn uncount(&mut self, usage: &PeerUsage) {
        if usage.counted {
            self.peers_rate -= f64::from(usage.rate);
            self.peers_rate_time -= f64::from(usage.rate) * seconds(usage.at);
        }
        self.peers_demand -= f64::from(usage.counted_demand);
    }

    /// Drops the figures of hosts that are no longer known.
    pub(crate) fn retain_hosts(&mut self, is_known: impl Fn(HostId) -> bool) {
        self.peers.retain(|host, _| is_known(*host));
        self.summed_at = None;
    }

    /// Computes the sums over the other hosts anew, since their figures age and differences of
    /// large numbers lose precision.
    fn sum(&mut self, view: FleetView) {
        let is_recent = |at: ClockTime| view.now.since(at) < SUM_INTERVAL;
        if self.summed_at.is_some_and(is_recent) {
            return;
        }
        self.summed_at = Some(view.now);
        (self.peers_rate, self.peers_rate_time, self.peers_demand) = (0.0, 0.0, 0.0);
        for usage in self.peers.values_mut() {
            usage.counted = view.now.since(usage.at) < view.entry_lifetime();
            usage.counted_demand = 0.0;
            if usage.counted {
                self.peers_rate += f64::from(usage.rate);
                self.peers_rate_time += f64::from(usage.rate) * seconds(usage.at);
                usage.counted_demand = usage.demand * view.demand_weight(usage.at) as f32;
                self.peers_demand += f64::from(usage.counted_demand);
            }
        }
    }

    /// Returns how urgently the other hosts need new figures, 1 or more if they do at all.
    pub(crate) fn urgency(&self, view: FleetView) -> f64 {
        let now = view.now;
        let capacity = self.capacity(view.hosts);
        let share = self.demand_share(view);
        let allowance = self.allowance(view, capacity, share).max(1.0);
        let unexpected = self.unexpected(view);
        let age = now.since(self.reported.at);
        let demand = self.demand.get(DEMAND_TIME_S, now);
        let is_pressed = !self.was_free;
        // Figures about demand matter only while hosts divide the rate by it.
        let by_demand = if is_pressed {
            let known = self.reported.demand * view.demand_weight(self.reported.at);
            let scale = self.limit.rate_per_s * view.own_share + self.reported.demand;
            4.0 * (demand - known).abs() / scale.max(self.call_cost)
        } else {
            0.0
        };
        let expires = age >= view.entry_lifetime().scale(0.8) && self.reported.rate > 0.0;
        let has_changed = self.counters != self.reported.counters;
        // Many hosts that each admit a first call at the same time are not expected by any.
        let is_expected = self.reported.rate * RATE_TIME_S >= self.call_cost;
        let allowance = if is_expected {
            allowance
        } else {
            allowance.min(self.call_cost)
        };
        let by_usage =
            if unexpected > 0.0 { 2.0 } else { 1.0 } * unexpected.abs() / allowance.max(1.0);
        let waited = if has_changed { seconds(age) / 2.0 } else { 0.0 };
        let repeats = self.repeat_due && age >= REPEAT_TIME.scale(view.pace());
        by_usage
            .max(if repeats { 1.0 } else { 0.0 })
            .max(by_demand.min(1.9))
            .max(waited.min(1.9))
            .max(if expires { 1.0 } else { 0.0 })
    }

    /// Makes the entry of a report and records that it was sent.
    pub(crate) fn report(&mut self, tenant: TenantKey, now: ClockTime) -> UsageEntry {
        let demand = self.demand.get(DEMAND_TIME_S, now);
        let rate = if !self.was_free && demand >= self.call_cost * STEADY_CALLS_PER_S {
            self.admitted_rate
        } else {
            self.used.get(RATE_TIME_S, now)
        };
        // Callers that have moved to another host use nothing here any more.
        let rate = rate.min(demand);
        let recent = self.counters.charged - self.reported.counters.charged;
        self.repeat_due = recent > 0;
        self.reported = OwnReport {
            counters: self.counters,
            rate: rate.floor(),
            demand,
            at: now,
        };
        UsageEntry {
            tenant,
            charged: self.counters.charged,
            refunded: self.counters.refunded,
            recent: u32::try_from(recent).unwrap_or(u32::MAX),
            rate: rate as u32,
            demand: demand as u32,
        }
    }

    /// Returns the usage of all hosts per second, as far as it is known.
    pub(crate) fn usage_per_s(&self, now: ClockTime) -> f64 {
        self.used.get(RATE_TIME_S, now) + self.peers_rate.max(0.0)
    }

    /// Returns the usage of all hosts since their processes started, as far as it is known.
    pub(crate) fn total_usage(&self) -> u64 {
        let peers = self.peers.values();
        let peers: u64 = peers
            .map(|peer| peer.charged.saturating_sub(peer.refunded))
            .sum();
        let own = self.counters;
        own.charged.saturating_sub(own.refunded) + peers
    }

    /// Returns the age of the oldest figure of another host that is in use.
    pub(crate) fn oldest_age(&self, now: ClockTime) -> ClockTime {
        let counted = self.peers.values().filter(|peer| peer.counted);
        let ages = counted.map(|peer| now.since(peer.at));
        ages.max().unwrap_or(ClockTime::ZERO)
    }
}

/// Shortest and longest retry delay that callers get.
const MIN_WAIT: ClockTime = ClockTime::from_ms(50);
const MAX_WAIT: ClockTime = ClockTime::from_secs(8);

/// Returns the time until `missing` credit has come at a rate.
fn wait_time(missing: f64, rate: f64) -> ClockTime {
    if rate <= 0.0 {
        return ClockTime::from_secs(1);
    }
    let ms = (missing.max(0.0) / rate * 1_000.0).ceil();
    ClockTime::from_ms(ms as u64).max(MIN_WAIT).min(MAX_WAIT)
}
