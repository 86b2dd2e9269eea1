Feature: Registration survives the end of its lease at any moment

  # A balance that waited for the store while the lease ended crashed with a KeyError.
  Scenario: The lease ends while a group is given up
    Given a registered entry that holds groups 1 and 2 and should hold none
    When its lease ends during the first call that gives up a group
    Then the entry holds no group
    And no call failed unexpectedly

  # The key was attached to the old lease and is gone; another entry may hold the group already.
  Scenario: A group is acquired under a lease that ended meanwhile
    Given a registered entry that should hold all groups
    When its lease ends during the first call that acquires a group
    Then the entry holds no group acquired under the ended lease

  Scenario Outline: The watch shows a coordinator key of this entry
    Given a registered entry that should hold all groups
    When the watch shows its key of group 7 under <lease>
    Then the entry <belief> group 7

    Examples: a lost response to a write is found; a key of an ended lease is not believed
      | lease             | belief         |
      | the present lease | holds          |
      | an ended lease    | does not hold  |

  Scenario: The store is rewound to before a group was acquired
    Given a registered entry that holds groups 1 and 2 and should hold all
    When the watch shows a rewound store without coordinator keys
    Then the entry holds no group acquired before the rewind

  # After an outage an entry that waited for a seat may come first; the holder ended at once.
  Scenario: Another entry takes the seat after the lease ended
    Given a registered entry that should hold all groups
    When another entry takes its seat and its lease ends
    Then the entry is asked to drain
    And its registration does not end the process

  # With CRC-32 weights one of five entries coordinated 20 of 32 groups, and two none.
  Scenario Outline: Groups are divided evenly over <count> entries
    Given <count> registered entries
    Then each should coordinate at most its share of the groups, rounded up
    And every group has one coordinator
    And at most <moved> groups change their coordinator when one more entry comes

    Examples:
      | count | moved |
      | 1     | 16    |
      | 3     | 16    |
      | 5     | 16    |
      | 13    | 16    |
      | 15    | 16    |
      | 50    | 16    |
