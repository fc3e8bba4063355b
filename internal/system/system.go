// Package system wraps the operating system's services that the node uses: the wall clock, sockets, epoll and the files of a
// state directory. Each wrapper makes one system call, as documented in its manual page, and adds nothing to it.
//
// Built with the tag "faults", the same functions fail with errors that Linux documents, according to a seeded plan (faults.go). The
// release build contains none of that: its injectedFailure and transferLimit are trivial functions that the compiler inlines away
// (release.go).
package system

import (
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Call names a system call into which failures can be injected.
type Call string

// The system calls with fault injection.
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

// WallClock is the wall clock, in Unix time. It may jump; it is only used to set a process's clock when it starts.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) + wallClockSkew() }

// Socket opens a non-blocking TCP socket.
func Socket(family int) (int, error) {
	if err := injectedFailure(CallSocket); err != nil {
		return -1, err
	}
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect starts to connect. As on Linux, the connection is established in the background if the call is interrupted.
func Connect(fd int, address unix.Sockaddr) error {
	err := injectedFailure(CallConnect)
	if err != nil && err != unix.EINTR {
		return err
	}
	if result := unix.Connect(fd, address); result != nil {
		return result
	}
	return err
}

// Accept accepts a waiting connection as a non-blocking socket.
func Accept(fd int) (int, error) {
	if err := injectedFailure(CallAccept); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}

// EpollWait waits for events for at most so many milliseconds; without limit if it is negative.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := injectedFailure(CallEpollWait); err != nil {
		return 0, err
	}
	return unix.EpollWait(epoll, events, milliseconds)
}

// EpollAdd starts to watch a descriptor.
func EpollAdd(epoll, fd int, event *unix.EpollEvent) error {
	if err := injectedFailure(CallEpollAdd); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, event)
}

// EpollMod changes the events that are wanted of a descriptor.
func EpollMod(epoll, fd int, event *unix.EpollEvent) error {
	if err := injectedFailure(CallEpollMod); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_MOD, fd, event)
}

// Send writes to a connection; it may write only a part of the data.
func Send(fd int, data []byte) (int, error) {
	if err := injectedFailure(CallSend); err != nil {
		shutDownIfBroken(fd, err)
		return 0, err
	}
	return unix.SendmsgN(fd, data[:transferLimit(CallSend, len(data))], nil, nil, unix.MSG_NOSIGNAL)
}

// Receive reads from a connection; 0 without an error means that the peer has closed it.
func Receive(fd int, buffer []byte) (int, error) {
	if err := injectedFailure(CallReceive); err != nil {
		shutDownIfBroken(fd, err)
		return 0, err
	}
	n, _, err := unix.Recvfrom(fd, buffer[:transferLimit(CallReceive, len(buffer))], unix.MSG_DONTWAIT)
	return n, err
}

// Peek reads received data without removing it from the receive buffer.
func Peek(fd int, buffer []byte) (int, error) {
	if err := injectedFailure(CallPeek); err != nil {
		return 0, err
	}
	n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// shutDownIfBroken shuts down a connection for which an error of a broken connection was injected.
func shutDownIfBroken(fd int, err error) {
	if err == unix.ETIMEDOUT || err == unix.EHOSTUNREACH {
		unix.Shutdown(fd, unix.SHUT_RDWR)
	}
}

// OpenFile is os.OpenFile.
func OpenFile(path string, flag int, mode fs.FileMode) (*os.File, error) {
	if err := injectedFailure(CallOpen); err != nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: err}
	}
	return os.OpenFile(path, flag, mode)
}

// ReadDirNames returns the names in a directory, unsorted.
func ReadDirNames(path string) ([]string, error) {
	if err := injectedFailure(CallRead); err != nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: err}
	}
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	return dir.Readdirnames(-1)
}

// WriteFileAtomic replaces a file atomically: it writes a temporary file, syncs it if requested, and renames it over the old one, so
// that readers see either the old or the new content in full, even if the process is killed in between. On an error the old file
// remains.
func WriteFileAtomic(path, tempPath string, data []byte, mode fs.FileMode, sync bool) error {
	f, err := OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	err = writeData(f, data)
	if err == nil && sync {
		err = syncFile(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := injectedFailure(CallRename); err != nil {
		return &fs.PathError{Op: "rename", Path: path, Err: err}
	}
	return os.Rename(tempPath, path)
}

func writeData(f *os.File, data []byte) error {
	if err := injectedFailure(CallWrite); err != nil {
		f.Write(data[:len(data)/2]) // a failing write may leave a part of the data in the file
		return &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	_, err := f.Write(data)
	return err
}

func syncFile(f *os.File) error {
	if err := injectedFailure(CallSync); err != nil {
		return &fs.PathError{Op: "sync", Path: f.Name(), Err: err}
	}
	return f.Sync()
}
