package lifecycle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// root is the path of the repository's root folder.
const root = "../.."

// The code of the sender and of its decisions contains no name from a site's configuration and no site-specific number
// of a class: all of these come from the settings. Round numbers, multiples of 500, are allowed.
func TestNoSiteSpecificNames(t *testing.T) {
	names, figures := siteTerms(t)
	for _, path := range senderFiles(t) {
		tree, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok {
				return true
			}
			if site := figures[strings.ReplaceAll(lit.Value, "_", "")]; site != "" {
				t.Errorf("%s: %s is a number from %s", path, lit.Value, site)
			}
			for name, site := range names {
				if lit.Kind == token.STRING && strings.Contains(lit.Value, name) {
					t.Errorf("%s: %s contains a name from %s", path, lit.Value, site)
				}
			}
			return true
		})
	}
}

// siteTerms returns the site-specific names and numbers, each with the file that contains it.
func siteTerms(t *testing.T) (names, figures map[string]string) {
	names, figures = map[string]string{}, map[string]string{}
	listed, err := os.ReadFile("testdata/sites.txt") // names of sites without a file in deploy/sites
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range strings.Fields(string(listed)) {
		names[w] = "testdata/sites.txt"
	}
	sites, _ := filepath.Glob(root + "/deploy/sites/*.toml")
	if len(sites) < 2 {
		t.Fatalf("sites: %v", sites)
	}
	nameLine := regexp.MustCompile(`(?m)^(?:name|zones) = (.*)$`)
	figureLine := regexp.MustCompile(`(?m)^(?:aim|deadline|window)_ms = (\d+)$`)
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range nameLine.FindAllStringSubmatch(string(text), -1) {
			for _, q := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(m[1], -1) {
				if strings.Contains(q[1], "-") { // names without a hyphen are common words
					names[q[1]] = site
				}
			}
		}
		for _, m := range figureLine.FindAllStringSubmatch(string(text), -1) {
			if n, _ := strconv.Atoi(m[1]); n%500 != 0 {
				figures[m[1]] = site
			}
		}
	}
	if len(names) < 20 || len(figures) < 2 {
		t.Fatalf("%d names, %d figures", len(names), len(figures))
	}
	return names, figures
}

// senderFiles returns the non-test source files of the sender and of its decisions, as listed in the deploy file.
func senderFiles(t *testing.T) (files []string) {
	deploy, err := os.ReadFile(root + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range regexp.MustCompile(`(?m)^(?:policy|node) = \[(.*)\]`).FindAllStringSubmatch(string(deploy), -1) {
		for _, q := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(line[1], -1) {
			filepath.WalkDir(filepath.Join(root, q[1]), func(path string, d fs.DirEntry, err error) error {
				if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
					files = append(files, path)
				}
				return err
			})
		}
	}
	if len(files) < 50 {
		t.Fatalf("found only %d source files", len(files))
	}
	return files
}
