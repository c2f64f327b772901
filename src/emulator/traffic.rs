use std::{f64::consts::TAU, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Job, Scenario, Shape};
use crate::{path::Class, placement::Prompt};

const BLOCK_TOKENS: u32 = 64;
const CUSTOMERS: usize = 6;
const MOST_TALKS: usize = 120;
const MOST_TURNS: u32 = 8;
const SHARED_BLOCKS: u64 = 8;
const BATCH_BLOCKS: u64 = 60;
const SWING: f64 = 0.25;
const NEW_TALK: f64 = 0.2;
const BATCH: f64 = 0.05;
const SERVICE: f64 = 0.1;

/// Requests of all regions, the same for every policy that is given the same seed.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The requests by time of arrival.
    pub jobs: Vec<Job>,
}

/// A conversation whose prompts grow.
#[derive(Clone, Debug)]
struct Talk {
    number: u64,
    customer: usize,
    blocks: u64,
    turns: u32,
}

impl Traffic {
    /// The number of customers.
    pub const CUSTOMERS: usize = CUSTOMERS;

    /// Draws the requests of a run.
    pub fn new(shape: &Shape, scenario: Scenario, seed: u64) -> Self {
        let mut jobs = Vec::new();
        for (region, engines) in shape.engines.iter().enumerate() {
            let mut random = StdRng::seed_from_u64(seed ^ (region as u64 + 1) << 32);
            let rate = scenario.rate(region) * *engines as f64;
            let phase = TAU * region as f64 / shape.engines.len() as f64;
            let mut source = Source { region, talks: Vec::new(), next: (region as u64 + 1) << 40 };
            let mut at = 0.0;
            loop {
                let progress = at / shape.length.as_secs_f64();
                let now = rate * (1.0 + SWING * (TAU * progress + phase).sin());
                at += -(1.0 - random.random::<f64>()).ln() / now;
                if at >= shape.length.as_secs_f64() {
                    break;
                }
                jobs.push(source.draw(Duration::from_secs_f64(at), &mut random));
            }
        }
        jobs.sort_by_key(|job| job.at);
        Self { jobs }
    }
}

/// What one region's callers are doing.
#[derive(Debug)]
struct Source {
    region: usize,
    talks: Vec<Talk>,
    next: u64,
}

impl Source {
    fn draw(&mut self, at: Duration, random: &mut StdRng) -> Job {
        let base = Job {
            at,
            region: self.region,
            customer: customer(random),
            class: Class::Interactive,
            service: false,
            prompt: Prompt::default(),
            answer: random.random_range(60..180),
        };
        let kind: f64 = random.random();
        if kind < SERVICE {
            return Job {
                service: true,
                prompt: Prompt::from_blocks(Vec::new(), 1),
                answer: 1,
                ..base
            };
        }
        if kind < SERVICE + BATCH {
            let talk = self.open(base.customer, BATCH_BLOCKS);
            let prompt = talk.prompt();
            return Job { class: Class::Batch, prompt, answer: 250, ..base };
        }
        let talk = self.turn(base.customer, random);
        Job { customer: talk.customer, prompt: talk.prompt(), ..base }
    }

    fn open(&mut self, customer: usize, blocks: u64) -> Talk {
        self.next += 1;
        Talk { number: self.next, customer, blocks, turns: 0 }
    }

    fn turn(&mut self, customer: usize, random: &mut StdRng) -> Talk {
        let fresh = self.talks.is_empty() || random.random::<f64>() < NEW_TALK;
        if fresh {
            let talk = self.open(customer, random.random_range(2..6));
            if self.talks.len() >= MOST_TALKS {
                self.talks.swap_remove(random.random_range(0..MOST_TALKS));
            }
            self.talks.push(talk.clone());
            return talk;
        }
        let place = random.random_range(0..self.talks.len());
        let talk = &mut self.talks[place];
        talk.turns += 1;
        talk.blocks += random.random_range(2..6);
        let now = talk.clone();
        if now.turns >= MOST_TURNS {
            self.talks.swap_remove(place);
        }
        now
    }
}

impl Talk {
    /// The customer's shared blocks, then the conversation's own.
    fn prompt(&self) -> Prompt {
        let shared = (0..SHARED_BLOCKS).map(|block| (self.customer as u64 + 1) << 20 | block);
        let own = (0..self.blocks).map(|block| self.number << 16 | block);
        let blocks: Vec<u64> = shared.chain(own).collect();
        let tokens = u32::try_from(blocks.len()).unwrap_or(u32::MAX) * BLOCK_TOKENS;
        Prompt::from_blocks(blocks, tokens)
    }
}

/// A customer; the first has about two fifths of all requests.
fn customer(random: &mut StdRng) -> usize {
    if random.random::<f64>() < 0.3 { 0 } else { random.random_range(0..CUSTOMERS) }
}
