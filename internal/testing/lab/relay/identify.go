package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
)

// ProcessOf finds the process, among the ids given, that holds the local end of
// a loopback TCP connection. It reads /proc of those processes alone; zero
// means none of them.
func ProcessOf(source net.Addr, ids []int) int {
	address, isTCP := source.(*net.TCPAddr)
	if !isTCP {
		return 0
	}
	inode := socketInode(address)
	if inode == "" {
		return 0
	}
	for _, id := range ids {
		if holds(id, "socket:["+inode+"]") {
			return id
		}
	}
	return 0
}

// socketInode looks the local end of a connection up in the table of the kernel.
func socketInode(address *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	ip := address.IP.To4()
	if ip == nil {
		return ""
	}
	// The kernel prints the address in the byte order of the machine and the port in hex.
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	const (
		localField = 1
		inodeField = 9
	)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && fields[localField] == local && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}

func holds(id int, link string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", id)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(folder + "/" + file.Name()); err == nil && target == link {
			return true
		}
	}
	return false
}
