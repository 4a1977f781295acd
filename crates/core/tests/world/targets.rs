//! Simulated targets: their load reports, orders to them, and attempts at them.

use super::*;

/// Time between two reads of the load reports and of the host list, milliseconds.
const POLL_MS: u64 = 500;
/// Longest delay of an order, milliseconds; below the `max_order_delay` of the hosts.
const MAX_ORDER_DELAY_MS: u64 = 6_000;

impl World {
    /// Lets a host read the host list and the load of every target.
    pub(super) fn poll(&mut self, host: usize, epoch: u64) {
        let link = (host, epoch, None);
        if self.partitioned_from_platform != Some(host) && !self.chance(5) {
            let list = self.host_list(host);
            self.host_event(5, link, list);
        }
        let names: Vec<TargetName> = self.fakes.keys().cloned().collect();
        for name in names {
            if self.fakes[&name].down || self.chance(3) {
                continue;
            }
            let fake = self.fakes.get_mut(&name).unwrap();
            let (mut report, _) = fake.engine.report();
            report.leaving = fake.leaving && fake.reports_leaving;
            report.prefill_rate = 20_000.0;
            report.decode_rate = 50.0;
            // A late report arrives after newer ones.
            let late = if self.chance(3) { 1_500 } else { 0 };
            let delay = self.rng.random_range(1..20) + late;
            let event = HostEvent::LoadReported {
                report: Box::new(report),
                finished: Vec::new(),
            };
            self.host_event(delay, link, event);
        }
        self.after(POLL_MS, Message::Poll(host, epoch));
    }

    /// Starts a dispatch at its target; an engine without the model refuses it.
    pub(super) fn start_at_target(&mut self, host: usize, epoch: u64, effect: RequestEffect) {
        let RequestEffect::Dispatch {
            key,
            attempt,
            target,
            resume,
        } = &effect
        else {
            return;
        };
        let fake = &self.fakes[target];
        let model = match self.callers[key].call.booking {
            None if resume.is_none() && !fake.down => self.callers[key].call.model,
            _ => return self.start(host, epoch, effect),
        };
        let model = self.catalog.models[model].name.as_str();
        if matches!(
            fake.engine.copies.get(model),
            Some((_, CopyState::Resident))
        ) {
            return self.start(host, epoch, effect);
        }
        let attempt = *attempt;
        let link = (host, epoch, Some(attempt));
        self.event(0, link, RequestEvent::AttemptSent { attempt });
        let end = AttemptEnd::Refused {
            status: 404,
            retry_after: None,
        };
        self.event(1, link, RequestEvent::AttemptEnded { attempt, end });
    }

    /// Performs a request effect that concerns a target.
    pub(super) fn call_target(&mut self, host: usize, effect: RequestEffect) {
        let epoch = self.epochs[host];
        let delay = self.rng.random_range(0..4);
        match effect {
            RequestEffect::Dispatch {
                attempt,
                ref target,
                resume,
                ..
            } => {
                self.counts.resumes += u64::from(resume.is_some());
                let conn = Conn {
                    host,
                    epoch,
                    target: target.clone(),
                    silent: false,
                };
                self.conns.insert(attempt, conn);
                let late = if self.chance(2) { 3_000 } else { 0 };
                self.after(delay + late, Message::Start(host, epoch, effect));
            }
            RequestEffect::CheckExecution { key, row, target } => {
                let fake = &self.fakes[&target];
                let ran = fake.records.get(&row).copied();
                let known = !fake.down && !self.chance(10);
                self.callers.get_mut(&key).unwrap().held = ran.filter(|_| known);
                let ran = known.then_some(ran.is_some());
                let event = RequestEvent::ExecutionChecked { key, ran };
                self.event(delay, (host, epoch, None), event);
            }
            RequestEffect::Probe { target } if !self.chance(10) => {
                let alive = !self.fakes[&target].down;
                let event = RequestEvent::ProbeEnded { target, alive };
                self.event(delay, (host, epoch, None), event);
            }
            _ => {}
        }
    }

    /// Writes an order to its connection, unless it is no longer valid. The order may be lost, late
    /// or duplicated.
    pub(super) fn send_order(
        &mut self,
        host: usize,
        epoch: u64,
        target: TargetName,
        order: EngineOrder,
        valid_until: ClockTime,
    ) {
        if self.clock(host) >= valid_until {
            let event = MoveEvent::OrderAnswered {
                order: order.id,
                answer: OrderAnswer::Lost,
            };
            return self.reply(host, 0, HostEvent::Move(event));
        }
        self.counts.orders += 1;
        let copies = if self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let late = match self.chance(12) {
                true => self.rng.random_range(0..MAX_ORDER_DELAY_MS),
                false => self.rng.random_range(1..5),
            };
            if !self.chance(3) {
                let message = Message::Order(host, epoch, target.clone(), order.clone());
                self.after(late, message);
            }
        }
    }

    /// Delivers an order to its engine and sends back the answer, which may be lost.
    pub(super) fn order(&mut self, host: usize, epoch: u64, name: &TargetName, order: EngineOrder) {
        let refuse = self.chance(2);
        let lost = self.chance(4);
        let fake = self.fakes.get_mut(name).unwrap();
        if fake.down {
            return;
        }
        let reply = fake.engine.order(self.now, &order, refuse);
        self.counts.overcommitted += std::mem::take(&mut fake.engine.overcommitted);
        let incarnation = fake.engine.incarnation;
        let id = order.id;
        let answer = match reply {
            engine::EngineReply::Answer(answer) => answer,
            engine::EngineReply::Started => {
                let span = self.rng.random_range(100..1_500);
                self.after(span, Message::Finish(name.clone(), incarnation, order));
                OrderAnswer::Accepted
            }
        };
        let answer = if lost { OrderAnswer::Lost } else { answer };
        let event = MoveEvent::OrderAnswered { order: id, answer };
        self.host_event(2, (host, epoch, None), HostEvent::Move(event));
    }

    /// Raises the fencing number of an engine and confirms it, unless the confirmation is lost.
    pub(super) fn fence(
        &mut self,
        host: usize,
        epoch: u64,
        target: TargetName,
        fencing: FencingNumber,
    ) {
        let lost = self.chance(4);
        let fake = self.fakes.get_mut(&target).unwrap();
        if fake.down || !fake.engine.raise(fencing) || lost {
            return;
        }
        let event = MoveEvent::FencingConfirmed {
            incarnation: fake.engine.incarnation,
            target,
            fencing,
        };
        self.host_event(2, (host, epoch, None), HostEvent::Move(event));
    }

    /// Starts a new process of a target that is down, without copies, orders and streams.
    pub(super) fn restart_target(&mut self, target: &TargetName) {
        let fake = self.fakes.get_mut(target).unwrap();
        if fake.down {
            fake.down = false;
            fake.leaving = false;
            fake.engine.restart();
            self.known_leaves.remove(target);
        }
    }
}
