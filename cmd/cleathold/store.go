package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cleathold/internal/store"
)

type storeCmd struct {
	Stat    storeStatCmd    `cmd:"" help:"Tell what a folder holds; also while it is in use."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read all that is live, and tell of damage; also while it is in use."`
	Dump    storeDumpCmd    `cmd:"" help:"Write the live records as JSON lines; also while it is in use."`
	Backup  storeBackupCmd  `cmd:"" help:"Copy a folder, also while it is in use, into an empty one."`
	Restore storeRestoreCmd `cmd:"" help:"Copy a backup into an empty folder, and check the copy."`
	Repair  storeRepairCmd  `cmd:"" help:"Write what can be read of a folder into an empty one."`
}

type storeStatCmd struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
	JSON   bool   `help:"JSON instead of text." name:"json"`
}

// openReadOnly opens a folder to be read.
func openReadOnly(folder string) (*store.Store, error) {
	s, err := store.OpenReadOnly(store.Dir(folder))
	if errors.Is(err, store.ErrNewer) {
		return nil, fmt.Errorf("%w: use that one to read it", err)
	}
	return s, err
}

func (c *storeStatCmd) Run(out io.Writer) error {
	s, err := openReadOnly(c.Folder)
	if err != nil {
		return err
	}
	defer s.Close()
	sum := s.Summary()
	if c.JSON {
		return writeJSON(out, sum)
	}
	for _, g := range sum.Segments {
		fmt.Fprintf(out, "%s\t%d bytes\t%d live\n", g.File, g.Size, g.Live)
	}
	writeDamages(out, sum)
	_, err = fmt.Fprintf(out, "%d entities, %d bytes live of %d on disk in %d segments\n", sum.Entities, sum.Live, sum.Disk, len(sum.Segments))
	return err
}

func writeDamages(out io.Writer, sum store.Summary) {
	for _, d := range sum.Damages {
		if d.Tail {
			fmt.Fprintf(out, "%s ends in the middle of an append at %d, which was not promised (%d bytes)\n", d.File, d.Offset, d.Length)
			continue
		}
		if d.Missing {
			fmt.Fprintf(out, "DAMAGE segments before %s are missing\n", d.File)
			continue
		}
		fmt.Fprintf(out, "DAMAGE %s at %d: %d bytes can't be read\n", d.File, d.Offset, d.Length)
	}
	if sum.Doubtful > 0 {
		fmt.Fprintf(out, "%d entities may lack a record\n", sum.Doubtful)
	}
}

type storeVerifyCmd struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
	JSON   bool   `help:"JSON instead of text." name:"json"`
}

func (c *storeVerifyCmd) Run(out io.Writer) error {
	s, err := openReadOnly(c.Folder)
	if err != nil {
		return err
	}
	defer s.Close()
	sum := s.Summary()
	if c.JSON {
		if err := writeJSON(out, sum); err != nil {
			return err
		}
	} else {
		writeDamages(out, sum)
	}
	damage := s.Verify()
	for _, d := range sum.Damages {
		if d.Missing {
			damage = errors.Join(damage, fmt.Errorf("segments before %s are missing", d.File))
		} else if !d.Tail {
			damage = errors.Join(damage, fmt.Errorf("%s at %d: %d bytes can't be read", d.File, d.Offset, d.Length))
		}
	}
	if damage != nil {
		return exitError{fmt.Errorf("%w\n`cleathold store repair` writes what can be read into another folder", damage), exitDamaged}
	}
	if !c.JSON {
		fmt.Fprintf(out, "%d entities, all of them can be read\n", sum.Entities)
	}
	return nil
}

type storeDumpCmd struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
}

func (c *storeDumpCmd) Run(out io.Writer) error {
	s, err := openReadOnly(c.Folder)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Dump(out)
}

type storeBackupCmd struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
	To     string `arg:"" help:"Folder for the copy; it is made, or must be empty."`
}

func (c *storeBackupCmd) Run(out io.Writer) error { return copyStore(out, c.Folder, c.To) }

type storeRestoreCmd struct {
	Backup string `arg:"" help:"Folder of the backup." type:"existingdir"`
	To     string `arg:"" help:"Folder of the store; it is made, or must be empty."`
}

func (c *storeRestoreCmd) Run(out io.Writer) error { return copyStore(out, c.Backup, c.To) }

// copyStore copies a folder and checks the copy.
func copyStore(out io.Writer, from, to string) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	n, err := store.Backup(store.Dir(from), store.Dir(to))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d bytes copied\n", n)
	return (&storeVerifyCmd{Folder: to}).Run(out)
}

type storeRepairCmd struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
	To     string `arg:"" help:"Folder for the repaired one; it is made, or must be empty."`
	Sound  bool   `help:"Leave out what may lack a record."`
	JSON   bool   `help:"JSON instead of text." name:"json"`
}

func (c *storeRepairCmd) Run(out io.Writer) error {
	if err := os.MkdirAll(c.To, 0o700); err != nil {
		return err
	}
	written, omitted, err := store.Repair(store.Dir(c.Folder), store.Options{FS: store.Dir(c.To)}, c.Sound)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]int{"written": written, "left_out": omitted})
	}
	_, err = fmt.Fprintf(out, "%d entities written, %d left out; the folder %s is as it was\n", written, omitted, c.Folder)
	return err
}
