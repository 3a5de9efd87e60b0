"""Tests of the cached list of VMs."""

import unittest
from unittest.mock import create_autospec

from result import Err, Ok

from chestnutstair.coordination.platform import (
    ListedVm,
    UnavailableFailure,
    VmDirectory,
)
from chestnutstair.coordination.vm_directory import CachedVmDirectory
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock


class CachedVmDirectoryTest(unittest.TestCase):
    """The list is cached for 1.5 s; failures are returned."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.source = create_autospec(VmDirectory, instance=True)
        self.source.list_vms.return_value = Ok(())
        self.directory = CachedVmDirectory(self.source, self.clock, 1.5)
        self.deadline = Deadline.after(self.clock, 100)

    def test_reads_again_once_the_list_is_old(self) -> None:
        listed = (ListedVm("a", "z", True, False, 1),)
        self.directory.list_vms(self.deadline)
        self.clock.now += 1.4
        self.source.list_vms.return_value = Ok(listed)
        self.assertEqual(self.directory.list_vms(self.deadline), Ok(()))
        self.clock.now += 0.1
        self.assertEqual(self.directory.list_vms(self.deadline), Ok(listed))

    def test_passes_failures_on(self) -> None:
        self.directory.list_vms(self.deadline)
        self.clock.now += 2
        failure = Err(UnavailableFailure("down"))
        self.source.list_vms.return_value = failure
        self.assertEqual(self.directory.list_vms(self.deadline), failure)
