//! Checks of the controller's source files: they are narrow enough to read, contain no test code and no names
//! of particular sites, and are listed in the deployment file.

use std::fs;
use std::path::Path;

/// Largest line width of the controller's source files, in characters.
const MAX_WIDTH: usize = 110;

/// The controller's source files: path from the root of the repository, and text.
fn controller_files() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/controller");
    let mut files: Vec<(String, String)> = fs::read_dir(folder)
        .expect("the controller's folder is readable")
        .map(|file| {
            let path = file.expect("an entry of the controller's folder is readable").path();
            let name = path.file_name().and_then(|name| name.to_str()).expect("the file name is UTF-8");
            let text = fs::read_to_string(&path).expect("the entry is a text file");
            (format!("crates/admission/src/controller/{name}"), text)
        })
        .collect();
    files.sort();
    assert!(files.len() > 1 && files.iter().any(|(path, _)| path.ends_with("/mod.rs")), "{files:?}");
    files
}

#[test]
fn the_controllers_files_are_narrow_and_contain_no_test_code() {
    for (path, text) in controller_files() {
        for (index, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{path}: line {} is too wide", index + 1);
        }
        assert!(!text.contains("cfg(test)"), "{path}: contains test code");
        assert!(text.starts_with("//! "), "{path}: the first line must be the documentation of the module");
    }
}

#[test]
fn the_controllers_documentation_says_where_its_types_are() {
    let files = controller_files();
    let (_, page) =
        files.iter().find(|(path, _)| path.ends_with("/mod.rs")).expect("the controller has a mod.rs");
    let mut page = page.lines().take_while(|line| line.starts_with("//!"));
    assert!(page.any(|line| line.contains("src/interface/")));
}

#[test]
fn the_controllers_files_name_no_particular_site() {
    let site_words =
        ["akl", "milch", "muscat", "tariff", "usage-price", "plan-switch", "bill-estimate", "tour-"];
    let more_site_words =
        ["tank-", "abholung", "page-view", "doc-search", "build-publish", "std-6", "klein", "schnell"];
    let further_site_words =
        ["dublin", "kildare", "taiwan", "zagreb", "split-", "board-", "post-", "-ahead", "renom", "slot-"];
    let tenant_words =
        ["learner-", "-lesson", "county", "galway", "-gas", "fuel", "lingua", "jadran", "rijec", "-2c"];
    for (path, text) in controller_files() {
        let text = text.to_lowercase();
        for word in site_words.iter().chain(&more_site_words).chain(&further_site_words).chain(&tenant_words)
        {
            assert!(!text.contains(word), "{path}: contains {word}, a name of a particular site");
        }
    }
}

// The deployment file lists the files that hold the decision logic. The simulated node is compared with the
// real one in the listed files: a file that is split off from them and not listed would make decisions
// outside that comparison.
#[test]
fn the_deployment_file_lists_the_controllers_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployment =
        fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml is readable");
    let policy = deployment.split("policy = [").nth(1).and_then(|rest| rest.split(']').next());
    let listed: Vec<&str> =
        policy.expect("deploy/balancer.toml lists the policy files").split('"').skip(1).step_by(2).collect();
    let files: Vec<String> = controller_files().into_iter().map(|(path, _)| path).collect();
    assert_eq!(listed, files);
}
