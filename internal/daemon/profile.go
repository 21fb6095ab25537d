package daemon

import (
	"os"
	"runtime/pprof"

	"github.com/gravitational/trace"
)

// ProfileCPU writes a CPU profile to a file until the daemon has stopped. An empty path writes
// none.
func (d *Daemon) ProfileCPU(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return trace.Wrap(err, "can't write the CPU profile; give --cpu-profile a file in an existing folder")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return trace.Wrap(err)
	}
	d.OnStop(func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	})
	return nil
}
