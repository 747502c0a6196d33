package lifecycle

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The deploy file lists each package of the sender and no path that does not exist.
func TestDeployFileNamesPackages(t *testing.T) {
	text, err := os.ReadFile(root + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	for _, list := range regexp.MustCompile(`(?m)^(?:policy|node) = \[(.*?)\]`).FindAllStringSubmatch(string(text), -1) {
		for _, path := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(list[1], -1) {
			named = append(named, path[1])
			if _, err := os.Stat(filepath.Join(root, path[1])); err != nil {
				t.Error(err)
			}
		}
	}
	deps, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, pkg := range strings.Fields(string(deps)) {
		path, ours := strings.CutPrefix(pkg, "cleathold/")
		if ours && path != "control" && !slices.Contains(named, path) { // the files of control are listed one by one
			t.Errorf("deploy/balancer.toml does not list %s", path)
		}
	}
}
