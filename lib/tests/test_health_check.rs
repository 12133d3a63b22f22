//! A health check tells a refused connection, which shows that no process listens, from one that is
//! accepted and broken off.

#![allow(clippy::unwrap_used)]

use hollyhead::health_check::{check, CheckOutcome};
use tokio::net::TcpListener;

/// Load: a target accepts the connection of its check and breaks it off, then ends.
#[tokio::test]
async fn check_refused_connection_differs_from_an_aborted_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = tokio::spawn(async move { drop(listener.accept().await.unwrap()) });
    assert_eq!(check(address, "/health").await, CheckOutcome::Aborted);
    accepted.await.unwrap();
    assert_eq!(check(address, "/health").await, CheckOutcome::Refused);
}
