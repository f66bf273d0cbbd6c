//! What the event loop keeps of an attempt that the engine has taken.

use crate::connections::RequestRef;
use crate::handover_link::AttemptState;
use gaugestand_admission::RequestId;

/// An admitted attempt, until the engine forgets it: where to answer it, and what its run needs.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Id of the attempt, as the gateway sent it.
    pub id: RequestId,
    /// The request of the gateway that the attempt arrived in.
    pub request: RequestRef,
    /// Slot of the attempt's class.
    pub class: usize,
    /// Request body; empty once the run has started.
    pub body: Vec<u8>,
    /// Body of the outbound call that the run waits for; empty if the run has requested none.
    pub call_body: Vec<u8>,
    /// Number of the kernel's notice that requested that call; 0 if the run has requested none.
    pub call_notice: u64,
    /// Whether the attempt was admitted and has not been answered.
    pub open: bool,
}

impl Attempt {
    /// The attempt in the form in which it is handed over.
    pub fn to_state(&self) -> AttemptState {
        AttemptState {
            id: self.id,
            connection: self.request.connection,
            fcgi_id: self.request.fcgi_id(),
            class: self.class,
            body: self.body.clone(),
            call_body: self.call_body.clone(),
            call_notice: self.call_notice,
            open: self.open,
        }
    }

    /// An attempt that was handed over; `request` is its request in this process.
    pub fn from_state(state: AttemptState, request: RequestRef) -> Self {
        Attempt {
            id: state.id,
            request,
            class: state.class,
            body: state.body,
            call_body: state.call_body,
            call_notice: state.call_notice,
            open: state.open,
        }
    }
}
