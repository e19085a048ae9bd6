//! The interfaces for operators: the tool and its exit codes, the check of settings, status and metrics.

use std::ffi::OsStr;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet};
use curlewcleat_core::{RefusalReason, RetryReason};
use curlewcleat_standins::deployment::{get_text, Deployment};
use rstest::rstest;

const FAULTY: &str = "[tier a]\nrank = x\n\n[tier a]\nrank = 1\n\n[pool p]\nkind = magic\nfirst_byte_limit = 5\n\
                      \n[rule r]\npath = v1\ntier = none\npool = p\nspeed = 3\n\n[cluster c]\nx = 1\n";

#[actix_rt::test]
async fn check_reports_every_fault_at_once() -> Result<()> {
    let fleet = Deployment::start("check").await?;
    let path = fleet.write_file("faulty.ini", FAULTY)?;
    let (code, output) = fleet.tool(&["check", &path])?;
    assert_eq!(code, 1);
    for part in [
        "[tier a] rank: 'x' should be a whole number from 0 to 15",
        "[tier a]: stands already in faulty.ini",
        "[pool p] kind: 'magic' should be engine or service",
        "[pool p] first_byte_limit: '5' should be a time with a unit",
        "[rule r] path: 'v1' should begin with /",
        "[rule r] tier: there is no [tier none]",
        "[rule r] speed: is not known here",
        "[cluster c]: 'cluster' is no kind of section",
    ] {
        assert!(output.contains(part), "{part} is missing in:\n{output}");
    }
    Ok(())
}

/// A configuration file is identified by its name, so a file whose name is not UTF-8 cannot be applied.
#[actix_rt::test]
async fn file_without_a_readable_name_is_refused() -> Result<()> {
    let fleet = Deployment::start("unreadable-name").await?;
    let path = fleet.write_file("right.ini", "[tier a]\nrank = 1\n")?;
    let folder = Path::new(&path).with_file_name("files");
    std::fs::create_dir(&folder)?;
    std::fs::rename(&path, folder.join(OsStr::from_bytes(b"\xff.ini")))?;
    let (code, output) = fleet.tool(&["check", &folder.display().to_string()])?;
    assert_ne!(code, 0, "{output}");
    assert!(output.contains("is not UTF-8"), "{output}");
    Ok(())
}

#[rstest]
#[case::sahel_volt("sahel-volt")]
#[case::atlas("atlas")]
#[actix_rt::test]
async fn examples_pass_the_check(#[case] folder: &str) -> Result<()> {
    let fleet = Deployment::start("examples").await?;
    let path = format!("{}/../../examples/{folder}", env!("CARGO_MANIFEST_DIR"));
    let (code, output) = fleet.tool(&["check", &path])?;
    assert_eq!(code, 0, "{output}");
    Ok(())
}

#[actix_rt::test]
async fn faulty_files_are_never_applied() -> Result<()> {
    let fleet = ready_fleet("never-applied", 0, 1, 1).await?;
    // The file is valid by itself, but not together with the configuration in force.
    let path =
        fleet.write_file("more.ini", "[rule more]\npath = /x\ntier = none\npool = sessions\n")?;
    let (code, output) = fleet.tool(&["apply", &path])?;
    assert_eq!(code, 1, "{output}");
    let (_, history) = fleet.tool(&["history"])?;
    assert!(!history.contains("more.ini"), "{history}");
    Ok(())
}

#[actix_rt::test]
async fn diff_and_show_print_what_is_in_force() -> Result<()> {
    let fleet = ready_fleet("show", 1, 1, 2).await?;
    let text = configuration(&fleet, "", "");
    let path = fleet.write_file("all.ini", &text)?;
    assert_eq!(fleet.tool(&["diff", &path])?.0, 0);
    let path = fleet.write_file("all.ini", &text.replace("rank = 2", "rank = 3"))?;
    let (code, output) = fleet.tool(&["diff", &path])?;
    assert_eq!(code, 1);
    assert!(output.contains("- [tier review] rank = 2"), "{output}");
    assert!(output.contains("+ [tier review] rank = 3"), "{output}");
    fleet.list_vms(&["entry-0", "entry-1"], &["target-0"]).await?;
    for (what, part) in [
        ("config", "[tier start-stop]"),
        ("status", "entry-1"),
        ("vms", "VM"),
        ("targets", "t0"),
        ("accounts", "drivers"),
    ] {
        let (code, output) = fleet.tool(&["show", what])?;
        assert_eq!(code, 0, "{output}");
        assert!(output.contains(part), "show {what}: {output}");
        let (code, output) = fleet.tool(&["show", what, "--json"])?;
        assert_eq!(code, 0, "{output}");
        let _: serde_json::Value = serde_json::from_str(&output)?;
    }
    Ok(())
}

#[actix_rt::test]
async fn wait_lists_the_daemons_that_are_behind() -> Result<()> {
    let fleet = ready_fleet("behind", 0, 1, 2).await?;
    fleet.daemons[1].process.signal("STOP")?;
    let path = fleet.write_file("more.ini", "[tier more]\nrank = 9\n")?;
    let (code, output) = fleet.tool(&["apply", &path, "--wait", "--wait-seconds", "1"])?;
    fleet.daemons[1].process.signal("CONT")?;
    assert_eq!(code, 5, "{output}");
    assert!(output.contains(&fleet.daemons[1].operators), "{output}");
    assert!(!output.contains(&fleet.daemons[0].operators), "{output}");
    Ok(())
}

#[actix_rt::test]
async fn unreachable_platform_has_its_own_exit_code() -> Result<()> {
    let mut fleet = Deployment::start("out-of-reach").await?;
    fleet.platform.kill();
    let path = fleet.write_file("more.ini", "[tier more]\nrank = 9\n")?;
    let (code, output) = fleet.tool(&["apply", &path])?;
    assert_eq!(code, 4, "{output}");
    assert_eq!(fleet.tool(&["history"])?.0, 4);
    assert_eq!(fleet.tool(&["no-such-command"])?.0, 2);
    Ok(())
}

#[actix_rt::test]
async fn completions_are_printed() -> Result<()> {
    let fleet = Deployment::start("completions").await?;
    let (code, output) = fleet.tool(&["completions", "bash"])?;
    assert_eq!(code, 0);
    assert!(output.contains("history"));
    Ok(())
}

#[actix_rt::test]
async fn daemon_checks_its_settings() -> Result<()> {
    let fleet = Deployment::start("settings").await?;
    let faulty = "[vm]\nname = a\n\n[callers]\naddress = here\nworkers = 0\n\n[peers]\naddress = 1.2.3.4:5\n\
                  beat = 1s\nsuspect_after = 1s\n\n[speed]\nx = 1\n";
    let path = fleet.write_file("faulty.ini", faulty)?;
    let (code, output) = fleet.daemon_program(&["--settings", &path, "--check"])?;
    assert_eq!(code, 1);
    for part in [
        "[vm] data_centre: is missing",
        "[callers] address: 'here' should be an IP number and port",
        "[callers] workers: '0' should be a whole number from 1 to 64",
        "[peers] suspect_after: should be at least three beats",
        "[platform]: the section is missing",
        "[speed]: 'speed' is not known",
    ] {
        assert!(output.contains(part), "{part} is missing in:\n{output}");
    }
    let path = fleet.write_file(
        "right.ini",
        "[vm]\nname = a\ndata_centre = d\n\n[callers]\naddress = 127.0.0.1:1\n\n[operators]\n\
         address = 127.0.0.1:2\n\n[peers]\naddress = 127.0.0.1:3\n\n[platform]\naddress = 127.0.0.1:4\n",
    )?;
    let (code, output) = fleet.daemon_program(&["--settings", &path, "--check"])?;
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("key_retention: 3600s"), "{output}");
    Ok(())
}

#[actix_rt::test]
async fn metrics_have_a_counter_for_each_reason() -> Result<()> {
    let fleet = ready_fleet("metrics", 0, 1, 1).await?;
    let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await?;
    for reason in RefusalReason::ALL {
        assert!(metrics.contains(&format!("reason=\"{}\"", reason.code())), "{reason:?}");
    }
    for reason in RetryReason::ALL {
        assert!(
            metrics.contains(&format!("retries_total{{reason=\"{}\"}}", reason.code())),
            "{reason:?}"
        );
    }
    for name in [
        "config_generation 1",
        "queue_length{pool=\"sessions\"} 0",
        "permits_in_use",
        "peers_live 0",
    ] {
        assert!(metrics.contains(&format!("curlewcleat_{name}")), "{name}");
    }
    assert_eq!(get_text(&fleet.daemons[0].operators, "/healthz").await?, "ok");
    assert_eq!(get_text(&fleet.daemons[0].operators, "/readyz").await?, "ready");
    Ok(())
}

#[actix_rt::test]
async fn apply_with_wait_and_no_daemons_applies_nothing() -> Result<()> {
    let fleet = Deployment::start("no-daemons").await?;
    let path = fleet.write_file("a.ini", "[tier a]\nrank = 0\n")?;
    let (code, output) = fleet.tool(&["apply", &path, "--wait"])?;
    assert_eq!(code, 4, "{output}");
    assert!(output.contains("--wait needs --daemons"), "{output}");
    let (_, history) = fleet.tool(&["history", "--json"])?;
    assert_eq!(history.trim(), "[]");
    Ok(())
}
