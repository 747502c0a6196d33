// Command world2 plays one case of the review: stand-ins for the platform, endpoints and clients, and one sender as a
// process. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// longest is how long a case may take.
const longest = 110 * time.Second

var cases = map[string]func(*world) (verdict, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was seen")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *trouble, *keep))
}

// play plays a case and returns the exit code.
func play(name, root, record string, trouble, keep bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "world2:", err)
		return 2
	}
	run := cases[name]
	if run == nil {
		return fail(fmt.Errorf("no case %q", name))
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	rec, err := newRecorder(record)
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "w2-")
	if err != nil {
		return fail(err)
	}
	if keep {
		fmt.Println("folder:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	w := &world{
		rec: rec, root: root, dir: dir, trouble: trouble,
		messages: map[string]*message{}, served: map[string][]*served{},
	}
	defer func() { w.sender.stop() }()
	time.AfterFunc(longest, func() {
		w.sender.stop()
		os.RemoveAll(dir)
		os.Exit(fail(errors.New("the case takes too long")))
	})
	v, err := run(w)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return fail(err)
	}
	rec.note("broken: %t; %s", v.broken, v.text)
	fmt.Printf("broken: %t; %s\n", v.broken, v.text)
	if v.broken {
		return 1
	}
	return 0
}
