//! Compares ways to place requests while regions peak in turn: the same callers for each, in
//! virtual time. Prints a table, and writes the worth lost in each second as a file to plot.
//!
//! `cargo run --release --locked --example peaks -- SITE.json [SEED] [FILE.csv] [LOAD]`
#![expect(clippy::print_stdout, reason = "the program speaks to the terminal")]

use std::{env, error::Error, fs};

use pomelogate::emulator::peak::{Outcome, Policy, Site, World};

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = env::args().skip(1);
    let path = arguments.next().ok_or("name the file of a site, such as samples/peak/kbn.json")?;
    let seed = arguments.next().map_or(Ok(1), |text| text.parse())?;
    let file = arguments.next();
    let load: f64 = arguments.next().map_or(Ok(1.0), |text| text.parse())?;
    let mut site: Site = serde_json::from_str(&fs::read_to_string(&path)?)?;
    site.classes.iter_mut().for_each(|class| class.rate *= load);
    let outcomes = Policy::ALL.map(|policy| (policy, World::new(&site, policy, seed).run()));
    println!("policy        asked in time   late refused given up  worth lost  shared tokens read");
    for (policy, outcome) in &outcomes {
        let Outcome { asked, in_time, late, refused, given_up, shared_read, .. } = outcome;
        let lost = outcome.lost();
        println!(
            "{policy:<12} {asked:>6} {in_time:>7} {late:>6} {refused:>7} {given_up:>8}  \
             {lost:>10.3}  {shared_read:>18}"
        );
    }
    if let Some(file) = file {
        fs::write(file, plot(&outcomes))?;
    }
    Ok(())
}

/// One line a second: the second, and the part of its worth that each policy lost.
fn plot(outcomes: &[(Policy, Outcome)]) -> String {
    let mut text = "second".to_owned();
    for (policy, _) in outcomes {
        text.push_str(&format!(",{policy}"));
    }
    let seconds = outcomes.iter().map(|(_, outcome)| outcome.windows.len()).max().unwrap_or(0);
    for second in 0..seconds {
        text.push_str(&format!("\n{second}"));
        for (_, outcome) in outcomes {
            text.push_str(&format!(",{:.3}", outcome.lost_within(second, second + 1)));
        }
    }
    text + "\n"
}
