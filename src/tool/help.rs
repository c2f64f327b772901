/// The help of the tool.
pub const HELP: &str = "\
Operate VMs of pomelogate.

Usage: pomelogate <command> [options]

Commands without a VM:
  check <settings.json>          check a settings file
      pomelogate check samples/kapsul-bersih/vms/jakarta-1.json
  check-lists <plans> <allowances>   check two lists: their form, and with `--names` all of it
      pomelogate check-lists plans.json allowances.json --names names.json
  key digest                     print the digest of the key on standard input
      printf %s \"$KEY\" | pomelogate key digest
  trace <request> <log>...       the way of a request and the cause of its end, from logs alone
      pomelogate trace 7f21c0ffee00c0ff edge-*.log

Commands that ask a VM:
  status                         the VM, versions of the lists, VMs and targets
      pomelogate status --vm 127.0.0.1:7101 --key-file operator.key
  figures                        counters and histograms for each customer and class
      pomelogate figures --vm 127.0.0.1:7101 --key-file operator.key --json
  way <request>                  the way of a recent request, as each VM on it knows it
      pomelogate way 00c0ffee00c0ffee --vm 127.0.0.1:7101 --key-file operator.key
  explain                        what a VM that routes would do with a request now, and why; sends
                                 nothing and needs no key; `--vm` names the `figures_port`
      pomelogate explain --vm 127.0.0.1:9101 --host a.example --path /chat --tokens 826,80
  plans get                      print the plans in force
  plans diff <file>              compare them with a file
  allowances get                 print the allowances in force
  allowances diff <file>         compare them with a file
      pomelogate plans diff plans.json --vm 127.0.0.1:7101 --key-file operator.key

Commands that change something:
  plans apply <file>             make the plans in a file those in force
      pomelogate plans apply plans.json --dry-run --vm 127.0.0.1:7101 --key-file operator.key
  allowances apply <file>        the same for the allowances
  stop list                      show the planned stops; changes nothing
  stop announce <kind> <name>    announce a planned stop of a target, vm, zone or region
      pomelogate stop announce vm jakarta-2 --vm 127.0.0.1:7101 --key-file operator.key
  stop withdraw <kind> <name>    withdraw it
  replica status                 show the replicas of the lists; changes nothing
  replica readmit <vm>           have the leader readmit a replica that lost its disk, or admit a new one
      pomelogate replica readmit jakarta-1 --vm 127.0.0.1:7102 --key-file operator.key
  replica remove <vm>            have the leader remove a replica
  claims accept-risk <operator> <words>   after a lost disk: say that calls may run twice;
                                 asks the one VM named, for its region
      pomelogate claims accept-risk rina 'calls made before may run a second time' \\
        --vm 127.0.0.1:7101 --key-file operator.key

Options:
  --vm <address>       a VM's IP number and port; repeat it to name VMs to try next
  --key-file <file>    the file that holds the operator's key
  --names <file>       the catalogue of names, for `check-lists`
  --host, --path       the host and the path of a request, for `explain`
  --tokens <numbers>   its prompt tokens and most output tokens, `PROMPT,OUTPUT`
  --parts <parts>      the parts of its prompt, `IDENTIFIER:TOKENS,...`
  --organisation <name>   the organisation that sends it
  --json               print JSON, for machines
  --dry-run            check a change, but don't make it
  --wait               wait up to a minute until a change is in force everywhere
  --help               print this help

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no VM reachable,
4 committed but not yet in force everywhere, 5 the lists differ (`diff`).
";

/// The first words of the commands.
const WORDS: [&str; 13] = [
    "check",
    "check-lists",
    "key",
    "trace",
    "status",
    "figures",
    "explain",
    "way",
    "plans",
    "allowances",
    "stop",
    "replica",
    "claims",
];
const LARGEST_DISTANCE: usize = 3;

/// The command nearest to `word`, where one is near.
///
/// ```
/// assert_eq!(pomelogate::tool::nearest("statsu"), Some("status"));
/// assert_eq!(pomelogate::tool::nearest("bicycle"), None);
/// ```
pub fn nearest(word: &str) -> Option<&'static str> {
    WORDS
        .into_iter()
        .map(|known| (distance(word, known), known))
        .filter(|(distance, _)| *distance <= LARGEST_DISTANCE)
        .min()
        .map(|(_, known)| known)
}

/// The Levenshtein distance.
fn distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, one) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, other) in right.bytes().enumerate() {
            let replaced = diagonal + usize::from(one != other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
