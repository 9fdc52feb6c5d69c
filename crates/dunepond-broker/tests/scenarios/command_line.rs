//! The command line, and errors for faults in configuration files.

use std::io::Read;

use dunepond_testkit::stand_ins::{config, launch};
use rstest::rstest;
use serde_json::{Value, json};

#[rstest]
#[case::no_seed("/seed", json!(null), "seed: missing")]
#[case::bad_seed("/seed", json!("xyz"), "seed")]
#[case::bad_listen_address("/listen", json!("here"), "listen")]
#[case::bad_semantics("/settings/services/0/semantics", json!("maybe"), "settings.services: semantics")]
#[case::zero_cells("/settings/familyInfo/cells", json!(0), "familyInfo.cells: must be above 0")]
#[case::bad_streams("/settings/ceilings/streamsPerConn", json!("many"), "streamsPerConn: not a whole number")]
#[case::too_little_memory("/limits/memory_mb", json!(1), "limits")]
#[case::bad_second_step("/settings/familyInfo/secondStep", json!([0, 5]), "secondStep")]
#[case::bad_log_level("/log", json!("loud"), "log: not a level")]
fn invalid_configuration_names_its_key(#[case] key: &str, #[case] value: Value, #[case] expected: &str) {
    let mut config = config("127.0.0.1:1".parse().unwrap(), vec![]);
    *config.pointer_mut(key).unwrap() = value;
    let (mut child, file) = launch(&config);
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    let status = child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
    assert!(!status.success());
    assert!(stderr.contains(expected), "{stderr}");
}

/// Help, and errors for a missing configuration, a missing file or an unknown command.
#[rstest]
#[case::help(&["--help"], 0, "dunepond-broker [COMMAND]", "GW_CONFIG")]
#[case::unknown_command(&["fly"], 2, "", "unrecognized subcommand 'fly'")]
#[case::no_configuration(&[], 1, "", "GW_CONFIG: not set")]
#[case::no_file(&["check", "/nowhere/at/all.kdl"], 1, "", "/nowhere/at/all.kdl")]
#[case::no_file_to_run(&["run", "--operator", "/nowhere/at/all.kdl"], 1, "", "/nowhere/at/all.kdl")]
#[case::completions(&["completions", "bash"], 0, "_dunepond", "")]
fn command_line_help_and_errors(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected_stdout: &str,
    #[case] expected_in_either: &str,
) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dunepond-broker"))
        .args(arguments)
        .env_clear()
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let all = stdout.clone() + &String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(stdout.contains(expected_stdout) && all.contains(expected_in_either), "{all}");
}

#[rstest]
#[case("bodies {\n  longst \"1MiB\"\n}\nlog form=\"xml\"\n", 1, &[":2:3: ", "'longst'", ":4:5: ", "\"text\", \"json\""])]
#[case("log form=\"json\"\n", 0, &["nothing is wrong"])]
fn check_reports_every_fault_of_an_operator_file(
    #[case] text: &str,
    #[case] code: i32,
    #[case] expected: &[&str],
) {
    let file = std::env::temp_dir().join(format!("dunepond-check-{}-{code}.kdl", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dunepond-broker"))
        .arg("check")
        .arg(&file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    let all = [output.stdout, output.stderr].concat();
    let all = String::from_utf8_lossy(&all);
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(expected.iter().all(|text| all.contains(text)), "{all}");
}
