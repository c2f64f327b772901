/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Worth that could be earned.
    pub owed: f64,
    /// Worth that was earned.
    pub earned: f64,
    /// Requests.
    pub asked: u32,
    /// Those whose first token came in time.
    pub in_time: u32,
    /// Those that came late.
    pub late: u32,
    /// Those refused for good.
    pub refused: u32,
    /// Those that were given up.
    pub given_up: u32,
    /// Tokens of shared parts that were read.
    pub shared_read: u64,
    /// The same by second.
    pub windows: Vec<Window>,
}

/// One second of a run, by the time at which requests came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Worth that could be earned.
    pub owed: f64,
    /// Worth that was earned.
    pub earned: f64,
}

impl Outcome {
    /// The part of the worth that was lost.
    pub fn lost(&self) -> f64 {
        if self.owed > 0.0 { 1.0 - self.earned / self.owed } else { 0.0 }
    }

    /// The part lost of what came from the second `from` to the second `to`.
    pub fn lost_within(&self, from: usize, to: usize) -> f64 {
        let windows = self.windows.iter().take(to).skip(from);
        let (owed, earned) = windows.fold((0.0, 0.0), |(owed, earned), window| {
            (owed + window.owed, earned + window.earned)
        });
        if owed > 0.0 { 1.0 - earned / owed } else { 0.0 }
    }

    pub(super) fn owe(&mut self, second: usize, worth: f64) {
        self.asked += 1;
        self.owed += worth;
        self.window(second).owed += worth;
    }

    pub(super) fn earn(&mut self, second: usize, worth: f64, in_time: bool) {
        self.earned += worth;
        self.window(second).earned += worth;
        if in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    fn window(&mut self, second: usize) -> &mut Window {
        if self.windows.len() <= second {
            self.windows.resize(second + 1, Window::default());
        }
        &mut self.windows[second]
    }
}
