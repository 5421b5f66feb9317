# Listens on a loopback port and prints the port number. For each line on standard input it starts the command given as
# arguments with the listening socket as descriptor 0, as the platform does during an upgrade, and prints the process id.
use strict;
use warnings;
use Socket;

$| = 1;
$SIG{CHLD} = 'IGNORE';
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
bind($listener, pack_sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($listener, 128) or die "listen: $!";
print((unpack_sockaddr_in(getsockname($listener)))[0], "\n");
while (<STDIN>) {
    my $child = fork() // die "fork: $!";
    if ($child == 0) {
        open(STDIN, '<&', $listener) or die "descriptor 0: $!";
        open(STDOUT, '>&', \*STDERR) or die "descriptor 1: $!";
        exec(@ARGV) or die "exec: $!";
    }
    print "$child\n";
}
