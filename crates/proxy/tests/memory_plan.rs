//! The division of the memory limit between connections, bodies and bytes read ahead.

use balancer_proxy::memory::MemoryPlan;

/// Largest body of a message.
const BODY_BYTES: usize = 64 * 1024;
/// Memory that the plan counts for a connection with HTTP buffers, and for one without, in bytes.
const CONNECTION_BYTES: usize = 20 * 1024;
const IDLE_CONNECTION_BYTES: usize = 4 * 1024;

/// Guards the memory limit: for every limit and number of descriptors that a deployment may have, all parts together
/// fit, and leave something for the process itself.
#[test]
fn the_parts_fit_the_memory_limit() {
    for megabytes in 32..=192 {
        for sockets in (240..=1008).step_by(16) {
            let plan = MemoryPlan::new(Some(megabytes), sockets);
            let bodies = plan.request_bytes + plan.answer_bytes + plan.read_ahead_bytes;
            let connections = plan.buffered_connections * CONNECTION_BYTES + sockets * IDLE_CONNECTION_BYTES;
            assert!(
                bodies + connections <= (megabytes - 4) * 1_000_000,
                "{megabytes} MB, {sockets} sockets: {plan:?}"
            );
        }
    }
}

/// Guards clients with requests, which hold up to a third of the descriptors: each can have HTTP buffers and a connection
/// to an upstream, and several long bodies have room.
#[test]
fn a_third_of_the_sockets_can_carry_requests() {
    for megabytes in 32..=192 {
        for sockets in (240..=1008).step_by(16) {
            let plan = MemoryPlan::new(Some(megabytes), sockets);
            let clients = sockets / 3;
            assert!(plan.buffered_clients() >= clients, "{megabytes} MB, {sockets} sockets: {plan:?}");
            assert!(plan.buffered_connections >= 2 * clients, "{megabytes} MB, {sockets} sockets: {plan:?}");
            assert!(plan.request_bytes >= 16 * BODY_BYTES, "{megabytes} MB, {sockets} sockets: {plan:?}");
            assert!(plan.answer_bytes >= 16 * BODY_BYTES, "{megabytes} MB, {sockets} sockets: {plan:?}");
        }
    }
}

/// Guards against a process that can serve nobody because its limit is lower than what it needs itself.
#[test]
fn the_least_limit_leaves_room_for_a_few_requests() {
    let plan = MemoryPlan::new(Some(8), 1008);
    assert!(plan.buffered_clients() >= 16, "{plan:?}");
    assert!(plan.request_bytes >= BODY_BYTES && plan.answer_bytes >= BODY_BYTES, "{plan:?}");
}
