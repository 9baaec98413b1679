"""Identity and addresses of an entry VM."""

import dataclasses
import ipaddress


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One run of an entry VM's process.

    Attributes:
        id: Name of the VM.
        incarnation: Unix time of the process start in milliseconds.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        entry: Address for callers, ``IP:PORT``.
        control: Address for other VMs over HTTP, ``IP:PORT``.
        peer: Address for heartbeats over UDP, ``IP:PORT``.
        link_mbps: Bandwidth of the VM's link in Mbit/s, 0 if unknown.
    """

    id: str
    incarnation: int
    region: str
    failure_domain: str
    entry: str
    control: str
    peer: str
    link_mbps: float = 0.0

    def check(self) -> None:
        """Checks the name and the addresses, which other VMs send to.

        Raises:
            ValueError: The name is empty, or an address is not of the form
                ``IP:PORT``.
        """
        if not self.id:
            raise ValueError("the name of the VM is empty")
        for address in (self.entry, self.control, self.peer):
            split_address(address)


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address.

    Raises:
        ValueError: It is not of the form ``IP:PORT``.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    # Digits of other scripts are digits to ``int`` too.
    number = int(port) if port.isascii() and port.isdigit() else 0
    if not 0 < number < 2**16:
        raise ValueError(f"{port!r:.40} is no port")
    return host, number
