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

// root is the repository's.
const root = "../.."

// No name of a site stands in the code of the sender or of its decisions, and no figure of a class but those that
// everybody uses: all of them come from the settings.
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
				t.Errorf("%s: %s is a figure of %s", path, lit.Value, site)
			}
			for name, site := range names {
				if lit.Kind == token.STRING && strings.Contains(lit.Value, name) {
					t.Errorf("%s: %s holds a name of %s", path, lit.Value, site)
				}
			}
			return true
		})
	}
}

// siteTerms returns the names and the figures of sites, each with the file where it stands.
func siteTerms(t *testing.T) (names, figures map[string]string) {
	names, figures = map[string]string{}, map[string]string{}
	listed, err := os.ReadFile("testdata/sites.txt") // of sites that are served and not kept here
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
				if strings.Contains(q[1], "-") { // others are everyday words
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

// senderFiles lists the files of code of the sender and of its decisions, by the deploy file.
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
		t.Fatalf("%d files of code", len(files))
	}
	return files
}
