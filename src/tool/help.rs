/// The help of the tool.
pub const HELP: &str = "\
Operate VMs of pomelogate.

Usage: pomelogate <command> [options]

Commands without a VM:
  check <settings.json>          check a settings file
      pomelogate check samples/kapsul-bersih/vms/jakarta-1.json
  check-lists <plans> <allowances>   check the form of two lists
      pomelogate check-lists plans.json allowances.json
  key digest                     print the digest of the key on standard input
      printf %s \"$KEY\" | pomelogate key digest

Commands that ask a VM:
  status                         the VM, versions of the lists, VMs and targets
      pomelogate status --vm 127.0.0.1:7101 --key-file operator.key
  figures                        counters and histograms for each customer and class
      pomelogate figures --vm 127.0.0.1:7101 --key-file operator.key --json
  way <request>                  the way that a recent request took
      pomelogate way 00c0ffee00c0ffee --vm 127.0.0.1:7101 --key-file operator.key
  plans get                      print the plans in force
  plans diff <file>              compare them with a file
  allowances get                 print the allowances in force
  allowances diff <file>         compare them with a file
      pomelogate plans diff plans.json --vm 127.0.0.1:7101 --key-file operator.key

Commands for which a VM's side is not built yet; the VM refuses them (exit code 1):
  plans apply <file>             make the plans in a file those in force
      pomelogate plans apply plans.json --dry-run --vm 127.0.0.1:7101 --key-file operator.key
  allowances apply <file>        the same for the allowances
  stop list                      show the planned stops
  stop announce <kind> <name>    announce a planned stop of a target, vm, zone or region
      pomelogate stop announce vm jakarta-2 --vm 127.0.0.1:7101 --key-file operator.key
  stop withdraw <kind> <name>    withdraw it
  replica status                 show the replicas of the lists
  replica readmit <vm>           readmit a replica that lost its disk
      pomelogate replica readmit jakarta-1 --vm 127.0.0.1:7102 --key-file operator.key

Options:
  --vm <address>       a VM's IP number and port; repeat it to name VMs to try next
  --key-file <file>    the file that holds the operator's key
  --json               print JSON, for machines
  --dry-run            check a change, but don't make it
  --wait               wait up to a minute until a change is in force everywhere
  --help               print this help

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no VM reachable,
4 committed but not yet in force everywhere, 5 the lists differ (`diff`).
";

/// The first words of the commands.
const WORDS: [&str; 10] = [
    "check",
    "check-lists",
    "key",
    "status",
    "figures",
    "way",
    "plans",
    "allowances",
    "stop",
    "replica",
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
