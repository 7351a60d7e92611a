//! The phases of the drain, which end before the earliest SIGKILL for any longest deadline.

use std::time::Duration;

use balancer_proxy::server::shutdown::DrainSchedule;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards the phases for usual deadlines: a longest deadline of more than 3 s counts as 3 s.
#[test]
fn long_deadlines_leave_connections_open_for_nearly_three_seconds() {
    for longest in [3, 4, 60] {
        let schedule = DrainSchedule::new(Duration::from_secs(longest));
        assert_eq!(schedule.earliest_kill, ms(3700), "{longest} s");
        assert_eq!(schedule.close_from, ms(2800), "{longest} s");
        assert_eq!(schedule.answer_by, ms(3350), "{longest} s");
    }
}

/// Guards the requests that the front sends for 0.4 s after SIGTERM: connections stay open for 0.5 s even if all
/// deadlines are short.
#[test]
fn short_deadlines_leave_connections_open_while_the_front_sends() {
    for (longest, answer_by) in [(0, 350), (200, 550), (600, 950)] {
        let schedule = DrainSchedule::new(ms(longest));
        assert_eq!(schedule.close_from, ms(500), "{longest} ms");
        assert_eq!(schedule.answer_by, ms(answer_by), "{longest} ms");
    }
}

/// Guards against a program that is killed before it has ended, or that ends before all requests have their answers:
/// each phase ends before the earliest kill, and the program does not give up before connections start to close.
#[test]
fn every_phase_ends_before_the_earliest_kill() {
    for longest in (0..10_000).step_by(10).map(ms) {
        let schedule = DrainSchedule::new(longest);
        assert_eq!(schedule.earliest_kill, longest.min(ms(3000)) + ms(700), "{longest:?}");
        assert!(schedule.close_from >= ms(500), "{longest:?}");
        assert!(
            schedule.close_from + schedule.late_accepts + ms(50) <= schedule.earliest_kill,
            "{longest:?}"
        );
        assert!(schedule.answer_by + ms(350) <= schedule.earliest_kill, "{longest:?}");
        assert!(DrainSchedule::give_up_after(longest) >= schedule.close_from, "{longest:?}");
    }
}
