package node

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/quorum"
)

const (
	// firstStartFile is the file in the data directory that marks the first start of a VM
	// until its group has formed.
	firstStartFile = "first_start"
	// formedInterval is the time between two checks whether the group has formed.
	formedInterval = 200 * time.Millisecond
)

// takesPartInFormation reports whether this VM may be an initial member of a group: this is the
// first start of the deployment, or the process has ended before its group had formed. In the latter
// case, the settings do not say any more that the deployment starts for the first time, but the
// group needs this VM to form. A VM whose disk has been replaced since takes no part.
func takesPartInFormation(dataDir string, firstStart bool) (bool, error) {
	path := filepath.Join(dataDir, firstStartFile)
	if !firstStart {
		_, err := os.Stat(path)
		if errors.Is(err, fs.ErrNotExist) {
			return false, nil
		}
		return err == nil, err
	}
	f, err := os.Create(path)
	if err != nil {
		return true, err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return true, err
	}
	dir, err := os.Open(dataDir)
	if err != nil {
		return true, err
	}
	return true, errors.Join(dir.Sync(), dir.Close())
}

// endFormation records that this VM takes no further part in the formation of a group.
func endFormation(dataDir string) error {
	err := os.Remove(filepath.Join(dataDir, firstStartFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// beginFormation waits until the data directory accepts writes and reports whether this VM may be
// an initial member of its group.
func (p *process) beginFormation(ctx context.Context) bool {
	p.awaitWritableDisk(ctx)
	formation := p.Settings.Formation
	takesPart, err := takesPartInFormation(formation.DataDir, formation.FirstStart)
	if err != nil || takesPart != formation.FirstStart {
		p.Log.WithFields(logrus.Fields{"event": "formation", "takes_part": takesPart, "first_start": formation.FirstStart, "error": err}).Warn("the first start was interrupted, or can't be recorded")
	}
	return takesPart
}

// awaitFormation calls endFormation once the replica belongs to a group.
func (p *process) awaitFormation(ctx context.Context, q *quorum.Quorum) {
	ticker := time.NewTicker(formedInterval)
	defer ticker.Stop()
	for !q.Formed() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	p.endFormation()
}

func (p *process) endFormation() {
	if err := endFormation(p.Settings.Formation.DataDir); err != nil {
		p.Log.WithField("event", "formation").WithError(err).Warn("the end of the first start can't be recorded")
	}
}
