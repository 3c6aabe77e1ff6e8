package fake

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/cloud"
	_ "github.com/jaystage/jaystage/internal/testseed"
)

func startPlatform(t *testing.T) (*Platform, *cloud.Client) {
	t.Helper()
	p := NewPlatform("secret", []cloud.Price{
		{Class: "gpu-a", Domain: "gulberg", Reclaimable: true, HourlyPrice: 0.7}, {Class: "gpu-a", Domain: "cantt", HourlyPrice: 2},
	})
	t.Cleanup(p.Close)
	c, err := cloud.New(p.URL, "secret", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return p, c
}

func startRequest(id string, fencing uint64) cloud.StartRequest {
	return cloud.StartRequest{OrderID: id, FencingToken: fencing, Class: "gpu-a", Domain: "gulberg", Reclaimable: true, Pool: "model"}
}

// Guards against starting a second VM when the response to the first start was lost.
func TestStartReturnsSameVMAfterLostResponse(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	p.DropResponses(1)
	if _, err := c.Start(ctx, startRequest("1-1", 1)); err == nil || errors.Is(err, cloud.ErrRefused) {
		t.Fatalf("got %v for a lost response", err)
	}
	v, err := c.Start(ctx, startRequest("1-1", 1))
	if err != nil {
		t.Fatal(err)
	}
	list, err := c.VMs(ctx)
	if err != nil || len(list) != 1 || list[0] != v || v.OrderID != "1-1" {
		t.Errorf("got %+v, %v, want one VM %+v", list, err, v)
	}
}

// Guards against errors that do not distinguish refused, fenced and malformed requests.
func TestClientDistinguishesErrors(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	p.RefuseStarts(func(cloud.StartRequest) bool { return true })
	if _, err := c.Start(ctx, startRequest("2-1", 2)); !errors.Is(err, cloud.ErrRefused) {
		t.Errorf("got %v, want %v", err, cloud.ErrRefused)
	}
	p.RefuseStarts(nil)
	if _, err := c.Start(ctx, startRequest("1-9", 1)); !errors.Is(err, cloud.ErrFenced) {
		t.Errorf("got %v, want %v", err, cloud.ErrFenced)
	}
	if _, err := c.Start(ctx, startRequest("", 2)); !errors.Is(err, cloud.ErrRequest) {
		t.Errorf("got %v, want %v", err, cloud.ErrRequest)
	}
	if p.VMCount() != 0 {
		t.Errorf("got %d VMs, want 0", p.VMCount())
	}
}

// Guards against a call that never returns when the platform does not respond.
func TestHangingResponseTimesOut(t *testing.T) {
	p, _ := startPlatform(t)
	c, err := cloud.New(p.URL, "secret", 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p.HangResponses(1)
	if _, err := c.Prices(context.Background()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
	}
}

// Guards against missed reclaim notices, and against stops that fail because the VM was
// already reclaimed.
func TestReclaimRemovesVMsAfterNotice(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	for _, id := range []string{"1-1", "1-2"} {
		if _, err := c.Start(ctx, startRequest(id, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Start(ctx, cloud.StartRequest{OrderID: "1-3", FencingToken: 1, Class: "gpu-a", Domain: "cantt", Pool: "model"}); err != nil {
		t.Fatal(err)
	}
	p.Reclaim("gulberg", 30*time.Second)
	notices, err := c.Notices(ctx)
	if err != nil || len(notices) != 2 || notices[0].SecondsLeft != 30 {
		t.Errorf("got %+v, %v, want two notices of 30 s", notices, err)
	}
	p.Advance(30 * time.Second)
	if p.VMCount() != 1 {
		t.Errorf("got %d VMs after the wave, want 1", p.VMCount())
	}
	if err := c.Stop(ctx, notices[0].VM, "1-4", 1); err != nil {
		t.Errorf("stopping a VM that is gone: %v", err)
	}
	if err := c.Stop(ctx, "vm-3", "1-5", 1); err != nil || p.VMCount() != 0 {
		t.Errorf("got %d VMs, %v", p.VMCount(), err)
	}
}
