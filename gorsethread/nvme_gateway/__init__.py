"""The NVMe/TCP gateway: carries out the scheduler's decisions; offline/ has a branch's offline writes."""
