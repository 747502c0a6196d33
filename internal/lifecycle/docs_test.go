package lifecycle

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each log line that the page for on-call staff explains stands in the code.
func TestLogPageNamesLines(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, pattern := range []string{"../*/*.go", "../../cmd/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			code.Write(text)
		}
	}
	rows := regexp.MustCompile("(?m)^\\| (`[^|]*`) \\|").FindAllStringSubmatch(string(page), -1)
	if len(rows) < 30 {
		t.Fatalf("%d rows read", len(rows))
	}
	for _, row := range rows {
		for line := range strings.SplitSeq(strings.Trim(row[1], "`"), "`, `") {
			if !strings.Contains(code.String(), `"`+line+`"`) {
				t.Errorf("no code logs %q", line)
			}
		}
	}
}
