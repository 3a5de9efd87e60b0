"""Tests of the facts that daemons keep about each other."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.gossip import Fact, FactStore, select_links

FACT = Fact("entry-1", "zone-0", "127.0.0.1:1", "run-1", 5)


class FactStoreTest(unittest.TestCase):
    """Newer facts replace older ones, and removed daemons stay removed."""

    def test_keeps_the_newest_fact(self) -> None:
        store = FactStore()
        self.assertTrue(store.merge(FACT))
        self.assertFalse(store.merge(replace(FACT, beat=4, revision=9)))
        self.assertTrue(store.merge(replace(FACT, beat=6, revision=9)))
        self.assertEqual(store.list_facts()[0].revision, 9)

    def test_a_removed_incarnation_is_not_added_again(self) -> None:
        store = FactStore()
        store.merge(FACT)
        store.remove("entry-1")
        self.assertFalse(store.merge(FACT))
        self.assertEqual(store.list_facts(), ())
        self.assertTrue(
            store.merge(replace(FACT, incarnation="run-2", beat=1))
        )

    def test_facts_are_sent_once_and_again_after_a_change(self) -> None:
        store = FactStore()
        store.merge(FACT)
        names = frozenset({"entry-1"})
        self.assertEqual(store.collect_updates("entry-2", names, 9), (FACT,))
        store.merge(replace(FACT, beat=6))
        self.assertEqual(store.collect_updates("entry-2", names, 9), ())
        store.merge(replace(FACT, beat=7, revision=2))
        self.assertEqual(len(store.collect_updates("entry-2", names, 9)), 1)
        self.assertEqual(store.collect_updates("entry-3", frozenset(), 9), ())

    def test_links_grow_logarithmically_and_reach_all_daemons(self) -> None:
        names = [f"entry-{index:03d}" for index in range(100)]
        links = {name: select_links(name, names, 8) for name in names}
        self.assertLessEqual(max(map(len, links.values())), 7)
        reached = {names[0]}
        for _ in range(7):
            reached |= {peer for name in reached for peer in links[name]}
        self.assertEqual(reached, set(names))
