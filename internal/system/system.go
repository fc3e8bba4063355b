// Package system is the one seam between the node and the operating system: the wall clock, sockets, epoll and the files of a
// state directory. Each function makes one system call, as its manual page tells, and adds nothing to it.
//
// Built with the tag "faults" the same functions fail as Linux documents that they may, by a seeded plan (faults.go). The
// release build holds none of that: its failure and limit are constants that the compiler takes away (release.go).
package system

import (
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Call names a system call that may be made to fail.
type Call string

// The calls.
const (
	CallSocket    Call = "socket"
	CallConnect   Call = "connect"
	CallAccept    Call = "accept"
	CallEpollWait Call = "epoll_wait"
	CallEpollAdd  Call = "epoll_add"
	CallEpollMod  Call = "epoll_mod"
	CallSend      Call = "send"
	CallReceive   Call = "recv"
	CallPeek      Call = "peek"
	CallOpen      Call = "open"
	CallRead      Call = "read"
	CallWrite     Call = "write"
	CallSync      Call = "fsync"
	CallRename    Call = "rename"
)

// WallClock is the wall clock, in Unix time. It may step; nothing but a process's start is told from it.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) + skew() }

// Socket opens a TCP socket that does not block.
func Socket(family int) (int, error) {
	if err := failure(CallSocket); err != nil {
		return -1, err
	}
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect begins a connection.
func Connect(fd int, to unix.Sockaddr) error {
	err := failure(CallConnect)
	if err != nil && err != unix.EINTR {
		return err
	}
	if real := unix.Connect(fd, to); real != nil {
		return real
	}
	return err
}

// Accept takes a connection that waits at a listener.
func Accept(fd int) (int, error) {
	if err := failure(CallAccept); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}

// EpollWait waits for events for so many milliseconds at most; below 0: for good.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := failure(CallEpollWait); err != nil {
		return 0, err
	}
	return unix.EpollWait(epoll, events, milliseconds)
}

// EpollAdd begins to watch a descriptor, EpollMod changes what is watched for.
func EpollAdd(epoll, fd int, event *unix.EpollEvent) error {
	if err := failure(CallEpollAdd); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, event)
}

// EpollMod changes what a descriptor is watched for.
func EpollMod(epoll, fd int, event *unix.EpollEvent) error {
	if err := failure(CallEpollMod); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_MOD, fd, event)
}

// Send hands bytes to a connection; fewer than all may be taken.
func Send(fd int, data []byte) (int, error) {
	if err := failure(CallSend); err != nil {
		breakIf(fd, err)
		return 0, err
	}
	return unix.SendmsgN(fd, data[:limit(CallSend, len(data))], nil, nil, unix.MSG_NOSIGNAL)
}

// Receive takes bytes off a connection; 0 without an error: its other end has finished.
func Receive(fd int, buffer []byte) (int, error) {
	if err := failure(CallReceive); err != nil {
		breakIf(fd, err)
		return 0, err
	}
	n, _, err := unix.Recvfrom(fd, buffer[:limit(CallReceive, len(buffer))], unix.MSG_DONTWAIT)
	return n, err
}

// Peek looks at what may be received and leaves it there.
func Peek(fd int, buffer []byte) (int, error) {
	if err := failure(CallPeek); err != nil {
		return 0, err
	}
	n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// breakIf ends a connection that is to have failed for good.
func breakIf(fd int, err error) {
	if err == unix.ETIMEDOUT || err == unix.EHOSTUNREACH {
		unix.Shutdown(fd, unix.SHUT_RDWR)
	}
}

// OpenFile is os.OpenFile.
func OpenFile(path string, flag int, mode fs.FileMode) (*os.File, error) {
	if err := failure(CallOpen); err != nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: err}
	}
	return os.OpenFile(path, flag, mode)
}

// ReadDirNames gives the names in a directory, in no order.
func ReadDirNames(path string) ([]string, error) {
	if err := failure(CallRead); err != nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: err}
	}
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	return dir.Readdirnames(-1)
}

// WriteFileAtomic replaces a file: it is written beside, synced if that is asked for, and renamed over the old one, so that whoever
// reads finds the old or the new one whole, also after a kill in between. With an error the old one stands.
func WriteFileAtomic(path, beside string, data []byte, mode fs.FileMode, sync bool) error {
	f, err := OpenFile(beside, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	err = write(f, data)
	if err == nil && sync {
		err = syncFile(f)
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := failure(CallRename); err != nil {
		return &fs.PathError{Op: "rename", Path: path, Err: err}
	}
	return os.Rename(beside, path)
}

func write(f *os.File, data []byte) error {
	if err := failure(CallWrite); err != nil {
		f.Write(data[:len(data)/2]) // what was written before the failure stays
		return &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	_, err := f.Write(data)
	return err
}

func syncFile(f *os.File) error {
	if err := failure(CallSync); err != nil {
		return &fs.PathError{Op: "sync", Path: f.Name(), Err: err}
	}
	return f.Sync()
}
