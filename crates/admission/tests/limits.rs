//! What the files that decide must all be: narrow enough to read, free of test code, silent about particular sites,
//! and listed in the deployment file.

use std::fs;
use std::path::Path;

/// Widest line of a file that decides, in characters.
const MAX_WIDTH: usize = 110;

/// The controller's files: path from the root of the repository, and text.
fn controller_files() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/controller");
    let mut files: Vec<(String, String)> = fs::read_dir(folder)
        .expect("the controller's folder")
        .map(|file| {
            let path = file.expect("an entry of the folder").path();
            let name = path.file_name().and_then(|name| name.to_str()).expect("a file name");
            let text = fs::read_to_string(&path).expect("a text file, not a folder");
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
        assert!(!text.contains("cfg(test)"), "{path}");
        assert!(text.starts_with("//! "), "{path}: the first line says what the module is");
    }
}

#[test]
fn the_controllers_page_says_where_its_types_are() {
    let files = controller_files();
    let (_, page) = files.iter().find(|(path, _)| path.ends_with("/mod.rs")).expect("the controller's page");
    let mut page = page.lines().take_while(|line| line.starts_with("//!"));
    assert!(page.any(|line| line.contains("src/interface/")));
}

#[test]
fn the_controllers_files_name_no_site() {
    let words = ["akl", "milch", "muscat", "tariff", "usage-price", "plan-switch", "bill-estimate", "tour-"];
    let more = ["tank-", "abholung", "page-view", "doc-search", "build-publish", "std-6", "klein", "schnell"];
    let grown =
        ["dublin", "kildare", "taiwan", "zagreb", "split-", "board-", "post-", "-ahead", "renom", "slot-"];
    let tenants =
        ["learner-", "-lesson", "county", "galway", "-gas", "fuel", "lingua", "jadran", "rijec", "-2c"];
    for (path, text) in controller_files() {
        let text = text.to_lowercase();
        for word in words.iter().chain(&more).chain(&grown).chain(&tenants) {
            assert!(!text.contains(word), "{path}: {word}");
        }
    }
}

// The deployment file names the files that hold the decision logic. A file that is split off and not listed there
// would decide unseen by whoever compares the simulated and the real node by that list.
#[test]
fn the_deployment_file_lists_the_controllers_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployment = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deployment file");
    let policy = deployment.split("policy = [").nth(1).and_then(|rest| rest.split(']').next());
    let listed: Vec<&str> = policy.expect("a list of files").split('"').skip(1).step_by(2).collect();
    let files: Vec<String> = controller_files().into_iter().map(|(path, _)| path).collect();
    assert_eq!(listed, files);
}
