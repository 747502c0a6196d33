package lifecycle

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each log message that the page for on-call staff explains exists in the code.
func TestLogPageNamesLines(t *testing.T) {
	var code strings.Builder
	for _, file := range globFiles(t, "../*/*.go", "../../cmd/*/*.go") {
		if !strings.HasSuffix(file, "_test.go") {
			code.Write(readFile(t, file))
		}
	}
	page := readFile(t, "../../docs/operate/logs.md")
	rows := regexp.MustCompile("(?m)^\\| (`[^|]*`) \\|").FindAllStringSubmatch(string(page), -1)
	if len(rows) < 30 {
		t.Fatalf("found only %d rows", len(rows))
	}
	for _, row := range rows {
		for line := range strings.SplitSeq(strings.Trim(row[1], "`"), "`, `") {
			if !strings.Contains(code.String(), `"`+line+`"`) {
				t.Errorf("no code logs %q", line)
			}
		}
	}
}

// Each test that a page of docs/ names exists, so that renaming a test without its mention in a page fails.
func TestPagesNameTests(t *testing.T) {
	tests := map[string]bool{}
	for _, file := range globFiles(t, "../../*/*_test.go", "../../*/*/*_test.go") {
		for _, found := range regexp.MustCompile(`(?m)^func (Test\w+)`).FindAllSubmatch(readFile(t, file), -1) {
			tests[string(found[1])] = true
		}
	}
	for _, page := range globFiles(t, "../../docs/design/*.md", "../../docs/operate/*.md") {
		for _, name := range regexp.MustCompile(`\bTest[A-Z]\w*`).FindAll(readFile(t, page), -1) {
			if !tests[string(name)] {
				t.Errorf("%s: test %s does not exist", page, name)
			}
		}
	}
}

func globFiles(t *testing.T, patterns ...string) (files []string) {
	t.Helper()
	for _, pattern := range patterns {
		list, err := filepath.Glob(pattern)
		if err != nil || len(list) == 0 {
			t.Fatalf("%s: %d files, %v", pattern, len(list), err)
		}
		files = append(files, list...)
	}
	return files
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
