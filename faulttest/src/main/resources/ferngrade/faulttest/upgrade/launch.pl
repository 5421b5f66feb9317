# Listens on a loopback port and prints the port. For each line "start<TAB>KEY=VALUE<TAB>..." on standard input, starts the
# command given by the arguments with that environment and with the listening socket as descriptor 0, as the platform does at
# an upgrade, and prints "started PID". Prints "ended PID STATUS", with the wait status, when a child ends. Exits when standard
# input is closed.
use strict;
use warnings;
use POSIX ':sys_wait_h';
use Socket;

$| = 1;
$SIG{CHLD} = sub {
    while ((my $pid = waitpid(-1, WNOHANG)) > 0) {
        print "ended $pid $?\n";
    }
};
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
bind($listener, pack_sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($listener, 1024) or die "listen: $!";
print((unpack_sockaddr_in(getsockname($listener)))[0], "\n");
while (my $line = <STDIN>) {
    chomp $line;
    my ($verb, @variables) = split /\t/, $line;
    next unless $verb eq 'start';
    my $child = fork() // die "fork: $!";
    if ($child == 0) {
        $SIG{CHLD} = 'DEFAULT';
        for (@variables) {
            my ($key, $value) = split /=/, $_, 2;
            $ENV{$key} = $value;
        }
        open(STDIN, '<&', $listener) or die "descriptor 0: $!";
        open(STDOUT, '>&', \*STDERR) or die "descriptor 1: $!";
        exec(@ARGV) or die "exec: $!";
    }
    print "started $child\n";
}
