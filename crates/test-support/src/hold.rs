//! A barrier that a test opens: whoever comes waits until then.

use std::sync::{Arc, Condvar, Mutex};

use crate::LONG;

#[derive(Default)]
struct State {
    closed: bool,
    waiting: usize,
}

/// Holds up threads of a stand-in for as long as a test wants, so that the test decides what comes first.
#[derive(Clone, Default)]
pub struct Hold {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Hold {
    /// From now on whoever passes waits.
    pub fn close(&self) {
        self.state.0.lock().unwrap().closed = true;
    }

    /// Lets through whoever waits, and all who come later.
    pub fn open(&self) {
        self.state.0.lock().unwrap().closed = false;
        self.state.1.notify_all();
    }

    /// Waits while it is closed.
    pub fn pass(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.waiting += 1;
        changed.notify_all();
        let (mut state, _) = changed.wait_timeout_while(state, LONG, |state| state.closed).unwrap();
        state.waiting -= 1;
    }

    /// Waits until somebody waits here.
    pub fn reached(&self) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        let (state, _) = changed.wait_timeout_while(state, LONG, |state| state.waiting == 0).unwrap();
        assert!(state.waiting > 0, "nobody came to the barrier");
    }
}
