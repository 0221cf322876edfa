//! Room for bodies in memory: never more than the pool has, and none waits for ever.

use jayreach::decide::body_pool::{BodyId, BodyLength, BodyPool, RoomResult, WaitLimit};
use proptest::prelude::*;
use rstest::rstest;

const CAPACITY: usize = 100;
const MAX_BODY: usize = 80;
const STEP: usize = 4;

fn pool() -> BodyPool {
    BodyPool::new(CAPACITY, MAX_BODY, WaitLimit::NONE)
}

fn next_granted(pool: &mut BodyPool) -> Vec<BodyId> {
    std::iter::from_fn(|| pool.next_granted()).collect()
}

#[test]
fn bodies_wait_in_order_for_room_that_others_give_back() {
    let mut pool = pool();
    let results = [(1, 60), (2, 60), (3, 10)].map(|(id, bytes)| pool.ask(id, bytes, BodyLength::Known));

    let early = next_granted(&mut pool);
    pool.release(60);
    let late = next_granted(&mut pool);

    assert_eq!(results, [RoomResult::Granted, RoomResult::Waiting, RoomResult::Waiting], "the third must not overtake");
    assert_eq!((early, late), (vec![], vec![2, 3]));
    assert_eq!(pool.used(), 70);
}

#[rstest]
#[case::longer_than_the_pool(WaitLimit::NONE, CAPACITY + 1)]
#[case::too_many_wait(WaitLimit { bodies: 1, bytes: usize::MAX }, 30)]
#[case::too_much_waits(WaitLimit { bodies: 9, bytes: 100 }, 30)]
fn a_body_that_would_wait_too_long_is_refused(#[case] limit: WaitLimit, #[case] bytes: usize) {
    let mut pool = BodyPool::new(CAPACITY, MAX_BODY, limit);
    pool.ask(1, 90, BodyLength::Known);
    pool.ask(2, 80, BodyLength::Known);

    let result = pool.ask(3, bytes, BodyLength::Known);

    assert_eq!(result, RoomResult::Refused);
}

#[test]
fn a_cancelled_body_doesnt_hold_up_the_next() {
    let mut pool = pool();
    pool.ask(1, 60, BodyLength::Known);
    pool.ask(2, 60, BodyLength::Known);
    pool.ask(3, 40, BodyLength::Known);

    pool.cancel(2);

    assert_eq!(next_granted(&mut pool), [3]);
}

#[test]
fn the_oldest_growing_body_goes_before_all_that_wait() {
    let mut pool = pool();
    pool.ask(1, STEP, BodyLength::Unknown);
    pool.ask(2, 96, BodyLength::Known);
    pool.ask(3, 50, BodyLength::Known);
    pool.ask(1, STEP, BodyLength::Unknown);

    pool.release(96);

    assert_eq!(next_granted(&mut pool), [1, 3]);
}

/// A body of a simulation: its length, whether that is known before, and what it holds.
#[derive(Debug, Clone)]
struct SimulatedBody {
    len: usize,
    length: BodyLength,
    held: usize,
    is_waiting: bool,
    is_complete: bool,
}

impl SimulatedBody {
    fn next_bytes(&self) -> usize {
        match self.length {
            BodyLength::Known => self.len,
            BodyLength::Unknown => STEP.min(self.len - self.held),
        }
    }

    fn record_grant(&mut self) {
        self.held += self.next_bytes();
        self.is_waiting = false;
    }
}

fn any_body() -> impl Strategy<Value = SimulatedBody> {
    let length = prop_oneof![Just(BodyLength::Known), Just(BodyLength::Unknown)];
    (1..=MAX_BODY, length).prop_map(|(len, length)| SimulatedBody {
        len,
        length,
        held: 0,
        is_waiting: false,
        is_complete: false,
    })
}

proptest! {
    /// All bodies arrive at once; those that aren't complete ask for more, in any order, and complete ones end when
    /// nothing else can happen.
    #[test]
    fn all_bodies_end_within_the_capacity(
        bodies in prop::collection::vec(any_body(), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 400),
    ) {
        let mut pool = pool();
        let mut bodies: Vec<Option<SimulatedBody>> = bodies.into_iter().map(Some).collect();
        let mut order = order.iter().cycle();
        while bodies.iter().any(Option::is_some) {
            let can_ask = |it: &Option<SimulatedBody>| it.as_ref().is_some_and(|it| !it.is_waiting && !it.is_complete);
            let asking: Vec<usize> = (0..bodies.len()).filter(|it| can_ask(&bodies[*it])).collect();
            if asking.is_empty() {
                let complete = bodies.iter().position(|it| it.as_ref().is_some_and(|it| it.is_complete));
                prop_assert!(complete.is_some(), "all bodies wait: {bodies:?}");
                let ended = complete.and_then(|at| bodies[at].take());
                pool.release(ended.map_or(0, |it| it.held));
            } else {
                let at = asking[order.next().expect("the order is cyclic").index(asking.len())];
                let body = bodies[at].as_mut().expect("it can ask");
                match pool.ask(at as BodyId, body.next_bytes(), body.length) {
                    RoomResult::Granted => body.record_grant(),
                    RoomResult::Waiting => body.is_waiting = true,
                    RoomResult::Refused => prop_assert!(false, "no body is longer than the pool"),
                }
            }
            loop {
                for (id, body) in bodies.iter_mut().enumerate() {
                    if let Some(body) = body.as_mut().filter(|it| it.held == it.len) {
                        body.is_complete = true;
                        pool.finish(id as BodyId);
                    }
                }
                let granted = next_granted(&mut pool);
                if granted.is_empty() {
                    break;
                }
                for id in granted {
                    bodies[id as usize].as_mut().expect("only open bodies wait").record_grant();
                }
            }
            prop_assert!(pool.used() <= CAPACITY);
        }
        prop_assert_eq!((pool.used(), pool.waiting()), (0, 0));
    }
}
