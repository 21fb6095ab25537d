package scale

import (
	"os"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgimg"
)

// canvas is a picture to be written as PNG.
type canvas struct{ *vgimg.Canvas }

func newCanvas(width, height vg.Length) canvas {
	return canvas{vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(72))}
}

func (c canvas) save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.Wrap(err, "can't write %s; give --dir a folder that is there", path)
	}
	defer file.Close()
	_, err = vgimg.PngCanvas{Canvas: c.Canvas}.WriteTo(file)
	return trace.Wrap(err)
}
