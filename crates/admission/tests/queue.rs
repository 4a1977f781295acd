//! Tests of the admission queue and the concurrency limit.

use bolero::generator::bolero_generator::{driver, TypeGenerator};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use std::collections::HashMap;

/// Generates cases from fixed seeds, because `check!` takes its seeds from the operating system.
fn cases<T: TypeGenerator>(seed: u64, count: u64) -> impl Iterator<Item = T> {
    (seed..seed + count).filter_map(|number| {
        let options = driver::Options::default();
        let mut driver = driver::Rng::new(seeded_rng(number), &options);
        T::generate(&mut driver)
    })
}

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn tenant(name: &str, weight: u32, in_flight: u32) -> TenantSpec {
    TenantSpec {
        name: name.into(),
        weight,
        key_env: None,
        in_flight,
    }
}

fn class(name: &str, priority: u8, queue_limit: u32) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        priority,
        deadline_ms: 1_000,
        aging_ms: 100,
        queue_limit,
    }
}

/// Creates a queue with tenants of weight 1 and 3 and classes of priority 0 and 5.
fn queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::new();
    queue.set_limits(
        &[tenant("a", 1, 100), tenant("b", 3, 100)],
        &[class("urgent", 0, 50), class("batch", 5, 50)],
    );
    queue
}

fn work(key: u64, tenant: &str, class: &str, resource: &str) -> QueuedWork {
    QueuedWork {
        key: RequestKey(key),
        tenant: tenant.into(),
        class: class.into(),
        resource: resource.into(),
        deadline: at(1_000_000),
        cost: 500,
    }
}

fn refusal_reason(result: Result<(), AdmissionRefusal>) -> Option<RefusalReason> {
    result.err().map(|refusal| refusal.reason)
}

/// Guards against queues that grow without bound for a class or a tenant, and against refusals
/// without a retry hint.
#[test]
fn limits_refuse_with_a_retry_hint() {
    let mut queue = queue();
    queue.set_limits(
        &[tenant("a", 1, 3), tenant("b", 1, 9)],
        &[class("batch", 5, 4)],
    );
    let mut offer = |key, tenant: &str, class: &str| {
        queue.offer(at(0), work(key, tenant, class, "m"), ClockTime::ZERO)
    };
    for key in 0..3 {
        assert_eq!(offer(key, "a", "batch"), Ok(()));
    }
    let refusal = offer(3, "a", "batch").expect_err("the tenant should be at its limit");
    assert_eq!(refusal.reason, RefusalReason::TenantLimit);
    assert!(refusal.retry_after > Some(ClockTime::ZERO));
    assert_eq!(offer(4, "b", "batch"), Ok(()));
    assert_eq!(
        refusal_reason(offer(5, "b", "batch")),
        Some(RefusalReason::QueueFull)
    );
    assert_eq!(
        refusal_reason(offer(6, "b", "urgent")),
        Some(RefusalReason::Unknown)
    );
    assert_eq!(
        refusal_reason(offer(7, "c", "batch")),
        Some(RefusalReason::Unknown)
    );
}

/// Guards against work that still counts as in progress after it ended, expired, was abandoned or
/// was offered again.
#[test]
fn work_is_counted_in_progress_once() {
    let mut queue = queue();
    queue.set_limits(&[tenant("a", 1, 1)], &[class("urgent", 0, 9)]);
    let mut now = 0;
    for key in 0..20 {
        now += 10;
        let mut item = work(key, "a", "urgent", "m");
        item.deadline = at(now + 5);
        assert_eq!(queue.offer(at(now), item.clone(), ClockTime::ZERO), Ok(()));
        match key % 4 {
            0 => assert!(queue.remove(item.key)),
            1 => assert_eq!(queue.expire(at(now + 5)).len(), 1),
            kind => {
                assert!(queue.pop_ready(at(now), &mut |_| true).is_some());
                if kind == 3 {
                    assert_eq!(queue.offer(at(now), item.clone(), ClockTime::ZERO), Ok(()));
                    assert!(queue.pop_ready(at(now), &mut |_| true).is_some());
                }
                queue.record_ended(at(now), &item);
                queue.record_ended(at(now), &item);
            }
        }
    }
    assert!(queue.is_empty());
    assert_eq!(queue.dispatched(), 0);
}

/// Guards against accepting work that cannot meet its deadline, and against dequeuing it too late.
#[test]
fn deadlines_refuse_and_expire() {
    let mut queue = queue();
    let mut late = work(1, "a", "urgent", "m");
    late.deadline = at(100);
    let refused = queue.offer(at(0), late.clone(), at(80));
    assert_eq!(
        refusal_reason(refused),
        Some(RefusalReason::DeadlineUnreachable)
    );
    let passed = queue.offer(at(100), late.clone(), ClockTime::ZERO);
    assert_eq!(refusal_reason(passed), Some(RefusalReason::DeadlinePassed));
    assert_eq!(queue.offer(at(0), late, at(10)), Ok(()));
    assert_eq!(queue.pop_ready(at(100), &mut |_| true), None);
    assert_eq!(queue.expire(at(99)).len(), 0);
    assert_eq!(queue.expire(at(100)).len(), 1);
}

/// Guards against batch work that starves under urgent work, and urgent work that waits behind it.
#[test]
fn aged_batch_work_progresses() {
    let mut queue = queue();
    let mut key = 0;
    for _ in 0..20 {
        key += 1;
        let batch = work(key, "a", "batch", "m");
        assert_eq!(queue.offer(at(0), batch, ClockTime::ZERO), Ok(()));
    }
    let mut batch_dequeues = 0;
    for step in 0..160 {
        key += 1;
        let now = at(200 + step);
        let urgent = work(key, "a", "urgent", "m");
        assert_eq!(queue.offer(now, urgent, ClockTime::ZERO), Ok(()));
        let dequeued = queue
            .pop_ready(now, &mut |_| true)
            .expect("queued work should be dequeued");
        batch_dequeues += u32::from(dequeued.class.as_str() == "batch");
        queue.record_ended(now, &dequeued);
    }
    assert_eq!(batch_dequeues, 20);
}

/// Guards against a tenant that gets more than its share by sending more requests.
#[test]
fn tenants_share_by_weight() {
    let mut queue = queue();
    for key in 0..40 {
        let name = if key < 30 { "a" } else { "b" };
        let offered = queue.offer(at(0), work(key, name, "urgent", "m"), ClockTime::ZERO);
        assert_eq!(offered, Ok(()));
    }
    let mut counts: HashMap<TenantName, u32> = HashMap::new();
    for _ in 0..12 {
        let dequeued = queue
            .pop_ready(at(1), &mut |_| true)
            .expect("queued work should be dequeued");
        *counts.entry(dequeued.tenant).or_insert(0) += 1;
    }
    assert_eq!(counts[&TenantName::new("a")], 3);
    assert_eq!(counts[&TenantName::new("b")], 9);
}

/// Guards against a tenant that loses its share whenever its only work is for a busy resource.
#[test]
fn tenant_without_ready_work_keeps_its_share() {
    let mut queue = AdmissionQueue::new();
    queue.set_limits(
        &[tenant("a", 1, 200), tenant("b", 1, 200)],
        &[class("urgent", 0, 200)],
    );
    for key in 0..120 {
        let (name, resource) = [("a", "m"), ("a", "n"), ("b", "n")][key as usize % 3];
        let offered = queue.offer(at(0), work(key, name, "urgent", resource), ClockTime::ZERO);
        assert_eq!(offered, Ok(()));
    }
    let mut counts: HashMap<TenantName, u32> = HashMap::new();
    for number in 0..40 {
        let free = ["m", "n"][number % 2];
        let dequeued = queue.pop_ready(at(1), &mut |work| &*work.resource == free);
        let dequeued = dequeued.expect("work should be queued for both resources");
        *counts.entry(dequeued.tenant).or_insert(0) += 1;
    }
    assert_eq!(counts[&TenantName::new("a")], 20);
    assert_eq!(counts[&TenantName::new("b")], 20);
}

/// Guards against a tenant that accumulates credit while it is idle and then holds up the others.
#[test]
fn idle_tenant_accumulates_no_credit() {
    let mut queue = queue();
    for key in 0..40 {
        let offered = queue.offer(at(0), work(key, "b", "urgent", "m"), ClockTime::ZERO);
        assert_eq!(offered, Ok(()));
    }
    for _ in 0..30 {
        assert!(queue.pop_ready(at(1), &mut |_| true).is_some());
    }
    for key in 40..50 {
        let offered = queue.offer(at(1), work(key, "a", "urgent", "m"), ClockTime::ZERO);
        assert_eq!(offered, Ok(()));
    }
    let dequeued: Vec<QueuedWork> = (0..8)
        .filter_map(|_| queue.pop_ready(at(2), &mut |_| true))
        .collect();
    let of_a = dequeued.iter().filter(|work| work.tenant.as_str() == "a");
    // By weight, tenant a gets a quarter of the 8 dequeues. It gets one more at the start, before
    // tenant b is served again.
    assert_eq!(of_a.count(), 3);
}

/// Guards against a blocked model that holds up others, and against checking each of its requests.
#[test]
fn blocked_resources_are_skipped() {
    let mut queue = queue();
    for key in 0..45 {
        let offered = queue.offer(at(0), work(key, "a", "urgent", "blocked"), ClockTime::ZERO);
        assert_eq!(offered, Ok(()));
    }
    let free = work(99, "a", "urgent", "free");
    assert_eq!(queue.offer(at(0), free.clone(), ClockTime::ZERO), Ok(()));
    let mut checks = 0;
    let dequeued = queue.pop_ready(at(1), &mut |work| {
        checks += 1;
        &*work.resource == "free"
    });
    assert_eq!(dequeued, Some(free));
    assert!(
        checks <= 2,
        "expected at most 2 readiness checks, got {checks}"
    );
}

/// Guards against a limit that stays high on a slow target, or low on one that has recovered.
#[test]
fn limit_follows_latency() {
    let mut limit = ConcurrencyLimit::new(16, at(500));
    for step in 0..100 {
        limit.observe(at(step * 600), at(2_000), 16);
    }
    assert_eq!(limit.current(), 1);
    for step in 0..2_000 {
        let in_flight = limit.current();
        limit.observe(at(60_000 + step * 10), at(50), in_flight);
    }
    assert!(limit.current() > 16);
    assert!(limit.current() <= 64);
}

/// Guards against queueing work for a load that does not end before the deadline, and against
/// refusing work for which the load leaves time.
#[test]
fn loads_beyond_the_deadline_are_refused() {
    let mut queue = queue();
    let mut item = work(1, "a", "urgent", "m");
    item.deadline = at(2_000);
    let refused = queue.offer_awaiting_load(at(0), item.clone(), at(2_000));
    let refusal = refused.expect_err("a load that ends at the deadline should be refused");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(refusal.retry_after >= Some(at(2_000)));
    assert!(queue.is_empty());
    assert_eq!(queue.offer_awaiting_load(at(0), item, at(1_900)), Ok(()));
    let unknown = work(2, "nobody", "urgent", "m");
    let refused = queue.offer_awaiting_load(at(0), unknown, at(2_000_000));
    assert_eq!(refusal_reason(refused), Some(RefusalReason::Unknown));
}

/// Guards against lost, repeated or late work and unbounded queues under any order of calls.
#[test]
fn any_order_of_calls_accounts_for_all_work() {
    for calls in cases::<Vec<(u8, u8)>>(20_260_101, 3_000) {
        let mut queue = queue();
        let mut queued: HashMap<RequestKey, QueuedWork> = HashMap::new();
        let mut dequeued: Vec<QueuedWork> = Vec::new();
        for (order, (kind, value)) in calls.into_iter().enumerate() {
            let now = at(order as u64 * 20);
            match kind % 6 {
                0..=2 => {
                    let tenant = if value % 3 == 0 { "a" } else { "b" };
                    let class = if value % 2 == 0 { "urgent" } else { "batch" };
                    let resource = ["m", "n", "o"][usize::from(value % 3)];
                    let mut item = work(order as u64, tenant, class, resource);
                    item.deadline = now + at(u64::from(value) * 5);
                    if queue.offer(now, item.clone(), ClockTime::ZERO).is_ok() {
                        queued.insert(item.key, item);
                    }
                }
                3 => {
                    let mut ready = |work: &QueuedWork| &*work.resource != "m" || value > 99;
                    if let Some(item) = queue.pop_ready(now, &mut ready) {
                        assert!(item.deadline > now);
                        assert_eq!(queued.remove(&item.key), Some(item.clone()));
                        dequeued.push(item);
                    }
                }
                4 => {
                    for item in queue.expire(now) {
                        assert!(item.deadline <= now);
                        assert_eq!(queued.remove(&item.key), Some(item));
                    }
                }
                _ => {
                    let key = RequestKey(u64::from(value));
                    assert_eq!(queue.remove(key), queued.remove(&key).is_some());
                    if let Some(item) = dequeued.pop() {
                        queue.record_ended(now, &item);
                    }
                }
            }
            assert_eq!(queue.len(), queued.len());
            assert_eq!(queue.dispatched(), dequeued.len());
            assert!(queue.len() <= 100);
        }
    }
}
