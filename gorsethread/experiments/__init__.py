"""Days and benches on this machine: separate processes on loopback, judged and measured."""
